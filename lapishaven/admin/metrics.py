"""The figures of ``GET /v1/metrics`` in the Prometheus text format (version 0.0.4), from the counters alone.

Written by hand rather than through prometheus-client: importing that library beside the server takes the maximum
resident size of the process from 18.2 MB to 26.6 MB (67 more modules), for five families, and it keeps a second
tally beside the counters. Every figure here is read from
``Counters``, where the one place that answers (``Broker._send``) and the one that starts runs count them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from lapishaven.core.outcome_metrics import FAULTED, FULFILLED, RELAYED, THROTTLED
from lapishaven.counters import Counters

PREFIX = "server_"
GAUGES = ("shards", "members", "in")  # of ownership; the rest of it are counters
STANDINGS = ("ok", "silent", "out", "pushed back", "leaves")  # of processes that attempts are spread over
BY_CLASS = (
    (FULFILLED, "requests served"),
    (THROTTLED, "requests refused, which never ran"),
    (FAULTED, "requests failed, or failed as their due time came"),
    (RELAYED, "runs handed to the backend"),
)


def _label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def render(
    counters: Counters,
    classes: Iterable[str],
    open_requests: int,
    ready: bool,
    fleet: Mapping[str, int] | None = None,
    spread: Mapping[str, Any] | None = None,
) -> bytes:
    """The exposition text. ``classes`` are those that are served now, and any that counted before a reload."""
    names = list(dict.fromkeys(classes))
    for group, _ in BY_CLASS:
        names += [n for n in counters.groups.get(group, {}) if n not in names]
    lines: list[str] = []
    for group, text in BY_CLASS:
        metric = PREFIX + group
        lines += [f"# HELP {metric} {text}, by class", f"# TYPE {metric} counter"]
        lines += [f'{metric}{{priority="{_label(n)}"}} {counters.get(group, n)}' for n in names]
    for metric, kind, value, text in (
        ("open_requests", "gauge", open_requests, "requests taken and not yet ended"),
        ("cfg_accepted", "counter", counters.get("reloads", "done"), "settings files taken at SIGHUP"),
        ("cfg_invalid", "counter", counters.get("reloads", "failed"), "settings files turned down at SIGHUP"),
        ("ready", "gauge", int(ready), "1 while this process says yes to /v1/readyz"),
    ):
        lines += [f"# HELP {PREFIX}{metric} {text}", f"# TYPE {PREFIX}{metric} {kind}", f"{PREFIX}{metric} {value}"]
    for name, value in (fleet or {}).items():
        metric, kind = f"{PREFIX}ownership_{name}", "gauge" if name in GAUGES else "counter"
        lines += [
            f"# HELP {metric} {name.replace('_', ' ')}, see docs/operators/ownership.md",
            f"# TYPE {metric} {kind}",
            f"{metric} {value}",
        ]
    if spread is not None:
        lines += _spread(spread)
    return ("\n".join(lines) + "\n").encode()


def _spread(state: Mapping[str, Any]) -> list[str]:
    """How many processes stand how, and the counts of choosing."""
    about, metric = "see docs/operators/spread.md", f"{PREFIX}spread_processes"
    standings = Counter(row["standing"] for row in state["processes"])
    lines = [f"# HELP {metric} processes behind this server by standing, {about}", f"# TYPE {metric} gauge"]
    lines += [f'{metric}{{standing="{name}"}} {standings[name]}' for name in STANDINGS]
    for name, value in sorted(state["counts"].items()):
        metric = f"{PREFIX}spread_{name.replace(' ', '_')}"
        lines += [f"# HELP {metric} {name}, {about}", f"# TYPE {metric} counter", f"{metric} {value}"]
    return lines
