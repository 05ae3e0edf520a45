"""The metrics of ``GET /v1/metrics`` in the Prometheus text format (version 0.0.4), from the counters alone.

Written by hand rather than through prometheus-client, whose import would add half of the process's memory for five
metric families, with a second set of counts beside ``Counters``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from lapishaven.core.outcome_metrics import FAULTED, FULFILLED, RELAYED, THROTTLED
from lapishaven.counters import Counters

PREFIX = "server_"
OWNERSHIP_GAUGES = ("shards", "members", "in")  # figures of ownership that are gauges; all others are counters
STANDINGS = ("ok", "silent", "out", "pushed back", "leaves")  # states of endpoints, as ``/v1/spread`` names them
CLASS_METRICS = {
    FULFILLED: "requests served",
    THROTTLED: "requests refused, which never ran",
    FAULTED: "requests failed, or failed as their due time came",
    RELAYED: "runs handed to the backend",
}
"""The metrics by request class, with their help texts; each is a group of the counters too."""


@dataclass(frozen=True, slots=True)
class Metric:
    """One metric family."""

    name: str
    kind: str  # "counter" or "gauge"
    help_text: str
    samples: list[tuple[str, object]] = field(default_factory=list)  # labels in braces, or an empty string; values

    def lines(self) -> list[str]:
        """The family in the text format."""
        samples = [f"{self.name}{labels} {value}" for labels, value in self.samples]
        return [f"# HELP {self.name} {self.help_text}", f"# TYPE {self.name} {self.kind}", *samples]


def render(
    counters: Counters,
    classes: Iterable[str],
    open_requests: int,
    ready: bool,
    fleet: Mapping[str, int] | None = None,
    spread: Mapping[str, Any] | None = None,
) -> bytes:
    """The exposition text.

    Args:
        counters: the counts of requests and reloads.
        classes: names of the classes that are served now; those that were counted before a reload are added.
        open_requests: how many requests are in the table.
        ready: whether the process is ready to serve.
        fleet: the figures of ownership by name; ``None`` where it is off.
        spread: the state of the processes that attempts are balanced over; ``None`` where they are not.
    """
    metrics = _class_metrics(counters, classes)
    metrics += _server_metrics(counters, open_requests, ready)
    for name, value in (fleet or {}).items():
        kind = "gauge" if name in OWNERSHIP_GAUGES else "counter"
        help_text = f"{name.replace('_', ' ')}, see docs/operators/ownership.md"
        metrics.append(Metric(f"{PREFIX}ownership_{name}", kind, help_text, [("", value)]))
    if spread is not None:
        metrics += _spread_metrics(spread)
    lines = [line for metric in metrics for line in metric.lines()]
    return ("\n".join(lines) + "\n").encode()


def _class_metrics(counters: Counters, classes: Iterable[str]) -> list[Metric]:
    """The metrics by class."""
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
    """How many processes are in each state, and the counts of the load balancer's choices."""
    see = "see docs/operators/spread.md"
    standings = Counter(row["standing"] for row in state["processes"])
    samples: list[tuple[str, object]] = [(f'{{standing="{name}"}}', standings[name]) for name in STANDINGS]
    metrics = [
        Metric(f"{PREFIX}spread_processes", "gauge", f"processes behind this server by standing, {see}", samples)
    ]
    for name, value in sorted(state["counts"].items()):
        metric_name = f"{PREFIX}spread_{name.replace(' ', '_')}"
        metrics.append(Metric(metric_name, "counter", f"{name}, {see}", [("", value)]))
    return metrics


def _escape_label(value: str) -> str:
    """A label's value with the escapes of the text format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
