"""The platform's scraper: reads ``/v1/metrics`` of every live process under load and compares it with the caller's log.

The platform reads the metrics every 1 to 2 s, and lets them lag by 0.5 s and be off by 3 or 1%. This scraper reads
them more often (``SCRAPE_INTERVAL_S``), so that its latencies show how the control address answers under load. The
text is parsed by prometheus-client, so that a metric that the platform could not read is missing here too.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

from lapishaven.lab.handover.book import Verdict
from lapishaven.lab.handover.platform import CONTROL_CALL_TIMEOUT_S, Platform

SCRAPE_INTERVAL_S = 0.1
METRIC_FAMILIES = ("server_fulfilled", "server_throttled", "server_faulted", "server_relayed", "server_open_requests")


@dataclass(frozen=True, slots=True)
class Scrape:
    """One scrape of one process, begun at ``at`` on the loop's clock.

    ``figures`` are the metrics summed over classes, or None if no complete response with status 200 came in time.
    """

    at: float
    process: str
    duration_s: float
    figures: dict[str, float] | None


def parse(body: bytes) -> dict[str, float]:
    """Each of ``METRIC_FAMILIES``, summed over its labels. Raises ``ValueError`` if the text is not in the format."""
    sums: dict[str, float] = defaultdict(float)
    for family in text_string_to_metric_families(body.decode()):
        if family.name in METRIC_FAMILIES:
            for sample in family.samples:
                sums[family.name] += sample.value
    return dict(sums)


async def scrape(
    platform: Platform, scrapes: list[Scrape], interval_s: float = SCRAPE_INTERVAL_S, rounds: int | None = None
) -> None:
    """Scrape each running process every ``interval_s`` seconds, ``rounds`` times or until cancelled."""
    loop = asyncio.get_running_loop()
    while rounds is None or rounds > 0:
        rounds = None if rounds is None else rounds - 1
        for process in [process for process in platform.processes if process.child.returncode is None]:
            started_at = loop.time()
            response = await platform.control_get(process, "/v1/metrics")
            duration_s = loop.time() - started_at
            figures = None
            if response is not None and response[0] == 200:
                try:
                    figures = parse(response[1])
                except ValueError:
                    figures = None
            scrapes.append(Scrape(started_at, process.name, duration_s, figures))
        await asyncio.sleep(interval_s)


def summarize(scrapes: list[Scrape], verdict: Verdict) -> dict[str, float]:
    """Latencies and failures of the scrapes, and how far the metrics are from the caller's counts.

    ``over_1s`` counts scrapes without an answer within the time-out, ``unreachable`` those that failed at once, as
    before a process listens and after it has stopped. The ``_off`` values compare the caller's counts with the last
    metrics of each process, summed over all processes.
    """
    durations = sorted(scrape_result.duration_s for scrape_result in scrapes if scrape_result.figures is not None)
    unanswered = [scrape_result for scrape_result in scrapes if scrape_result.figures is None]
    last_figures: dict[str, dict[str, float]] = {}
    for scrape_result in scrapes:
        if scrape_result.figures is not None:
            last_figures[scrape_result.process] = scrape_result.figures
    total = {name: sum(figures.get(name, 0.0) for figures in last_figures.values()) for name in METRIC_FAMILIES}
    if not durations:
        return {"calls": 0}
    return {
        "calls": len(scrapes),
        "p50_ms": round(durations[len(durations) // 2] * 1000, 2),
        "p99_ms": round(durations[min(len(durations) - 1, int(len(durations) * 0.99))] * 1000, 2),
        "over_1s": sum(duration >= CONTROL_CALL_TIMEOUT_S for duration in durations)
        + sum(scrape_result.duration_s >= CONTROL_CALL_TIMEOUT_S * 0.99 for scrape_result in unanswered),
        "unreachable": sum(scrape_result.duration_s < CONTROL_CALL_TIMEOUT_S * 0.99 for scrape_result in unanswered),
        "fulfilled_off": abs(total["server_fulfilled"] - verdict.served),
        "throttled_off": abs(total["server_throttled"] - verdict.refused_answers),
        "faulted_off": abs(total["server_faulted"] - verdict.failed),
    }


def within_slack(difference: float, count: int) -> bool:
    """Whether a count is off by at most the platform's tolerance: 3, or 1% of ``count``."""
    return difference <= max(3.0, 0.01 * count)
