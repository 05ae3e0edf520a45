"""The response to ``GET /v1/metrics`` in the Prometheus text format (version 0.0.4), rendered from ``Counters``.

prometheus-client is not used: its import would add half of the process's memory for five metric families, and it would
keep a second set of counts beside ``Counters``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from lapishaven.core.outcome_metrics import FAULTED, FULFILLED, RELAYED, THROTTLED
from lapishaven.counters import Counters

PREFIX = "server_"
OWNERSHIP_GAUGES = ("shards", "members", "in")  # ownership metrics that are gauges; all others are counters
ENDPOINT_STATUSES = ("ok", "silent", "out", "pushed back", "leaves")  # as named in ``/v1/spread``
CLASS_METRICS = {
    FULFILLED: "requests served",
    THROTTLED: "requests refused, which never ran",
    FAULTED: "requests failed, or failed as their due time came",
    RELAYED: "runs handed to the backend",
}
"""The metrics by request class. A key is both the name of the metric and its group in ``Counters``; a value is the help
text."""


@dataclass(frozen=True, slots=True)
class Metric:
    """One metric family."""

    name: str
    metric_type: str  # "counter" or "gauge"
    help_text: str
    samples: list[tuple[str, object]] = field(default_factory=list)  # labels in braces (or ""), and value

    def lines(self) -> list[str]:
        """The lines of the family in the text format."""
        samples = [f"{self.name}{labels} {value}" for labels, value in self.samples]
        return [f"# HELP {self.name} {self.help_text}", f"# TYPE {self.name} {self.metric_type}", *samples]


def render(
    counters: Counters,
    classes: Iterable[str],
    open_requests: int,
    ready: bool,
    fleet: Mapping[str, int] | None = None,
    spread: Mapping[str, Any] | None = None,
) -> bytes:
    """Render all metrics.

    Args:
        counters: the counts of requests and reloads.
        classes: names of the classes that are configured now; classes counted before a reload are added.
        open_requests: the number of requests that have not ended.
        ready: whether the process is ready to serve.
        fleet: the ownership metrics by name; ``None`` if ownership is off.
        spread: the state of the endpoints that attempts are balanced over; ``None`` if load balancing is off.
    """
    metrics = _class_metrics(counters, classes)
    metrics += _server_metrics(counters, open_requests, ready)
    for name, value in (fleet or {}).items():
        metric_type = "gauge" if name in OWNERSHIP_GAUGES else "counter"
        help_text = f"{name.replace('_', ' ')}, see docs/operators/ownership.md"
        metrics.append(Metric(f"{PREFIX}ownership_{name}", metric_type, help_text, [("", value)]))
    if spread is not None:
        metrics += _spread_metrics(spread)
    lines = [line for metric in metrics for line in metric.lines()]
    return ("\n".join(lines) + "\n").encode()


def _class_metrics(counters: Counters, classes: Iterable[str]) -> list[Metric]:
    """The metrics by request class. The class is exported as the label ``priority``."""
    names = list(dict.fromkeys(classes))
    for group in CLASS_METRICS:
        names += [name for name in counters.groups.get(group, {}) if name not in names]
    metrics = []
    for group, help_text in CLASS_METRICS.items():
        samples: list[tuple[str, object]] = [
            (f'{{priority="{_escape_label(name)}"}}', counters.get(group, name)) for name in names
        ]
        metrics.append(Metric(PREFIX + group, "counter", f"{help_text}, by class", samples))
    return metrics


def _server_metrics(counters: Counters, open_requests: int, ready: bool) -> list[Metric]:
    """The metrics of the process as a whole."""
    accepted = counters.get("reloads", "done")
    invalid = counters.get("reloads", "failed")
    return [
        Metric(f"{PREFIX}open_requests", "gauge", "requests taken and not yet ended", [("", open_requests)]),
        Metric(f"{PREFIX}cfg_accepted", "counter", "settings files taken at SIGHUP", [("", accepted)]),
        Metric(f"{PREFIX}cfg_invalid", "counter", "settings files turned down at SIGHUP", [("", invalid)]),
        Metric(f"{PREFIX}ready", "gauge", "1 while this process says yes to /v1/readyz", [("", int(ready))]),
    ]


def _spread_metrics(state: Mapping[str, Any]) -> list[Metric]:
    """The number of endpoints by status, exported as the label ``standing``, and the counters of the load balancer."""
    reference = "see docs/operators/spread.md"
    counts = Counter(row["standing"] for row in state["processes"])
    samples: list[tuple[str, object]] = [(f'{{standing="{name}"}}', counts[name]) for name in ENDPOINT_STATUSES]
    metrics = [
        Metric(f"{PREFIX}spread_processes", "gauge", f"processes behind this server by standing, {reference}", samples)
    ]
    for name, value in sorted(state["counts"].items()):
        metric_name = f"{PREFIX}spread_{name.replace(' ', '_')}"
        metrics.append(Metric(metric_name, "counter", f"{name}, {reference}", [("", value)]))
    return metrics


def _escape_label(value: str) -> str:
    """Escape a label value for the text format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
