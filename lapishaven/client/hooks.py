"""Hooks that turn the events of a client into structured logs and Prometheus metrics."""

from __future__ import annotations

from typing import Any

from lapishaven.client.engine import Hook
from lapishaven.client.settings import SettingsError

# Events that are logged as warnings; the others are logged at debug level.
WARNING_EVENTS = {"left out", "back in", "silent", "list held back", "list empty", "catalog failed", "end uncertain"}
END_EVENT_PREFIX = "end "  # followed by the outcome's name
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0)


def both(*hooks: Hook) -> Hook:
    """Return a hook that passes each event to all the given hooks."""

    def report(now: float, event: str, fields: dict[str, Any]) -> None:
        for hook in hooks:
            hook(now, event, fields)

    return report


def logging_hook(logger: Any = None) -> Hook:
    """Return a hook that logs each event as one line to a structlog logger (default: ``lapishaven.client``).

    The fields never contain bodies or keys of calls. Raises ``SettingsError`` if structlog is not installed.
    """
    if logger is None:
        try:
            import structlog
        except ImportError:
            raise SettingsError("logging client events requires structlog: install lapishaven[client]") from None
        logger = structlog.get_logger("lapishaven.client")

    def report(now: float, event: str, fields: dict[str, Any]) -> None:
        log = logger.warning if event in WARNING_EVENTS else logger.debug
        log(event, monotonic=round(now, 6), **fields)

    return report


def metrics_hook(registry: Any = None) -> Hook:
    """Return a hook that counts events in prometheus-client.

    ``lapishaven_client_events_total`` counts events by name; ``lapishaven_client_call_seconds`` is a histogram of call
    durations by class and end.

    Raises ``SettingsError`` if prometheus-client is not installed.
    """
    try:
        from prometheus_client import REGISTRY, Counter, Histogram
    except ImportError:
        raise SettingsError("metrics of the client require prometheus-client: install lapishaven[client]") from None
    registry = registry or REGISTRY
    events = Counter("lapishaven_client_events", "Events of the client by name", ["event"], registry=registry)
    calls = Histogram(
        "lapishaven_client_call_seconds",
        "Calls from start to end",
        ["cls", "end"],
        buckets=LATENCY_BUCKETS_S,
        registry=registry,
    )

    def report(now: float, event: str, fields: dict[str, Any]) -> None:
        events.labels(event).inc()
        if event.startswith(END_EVENT_PREFIX):
            calls.labels(fields["cls"], event.removeprefix(END_EVENT_PREFIX)).observe(fields["span"])

    return report
