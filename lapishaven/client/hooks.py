"""Hooks for the events of a client: structured logs, and metrics by the conventions of Prometheus."""

from __future__ import annotations

from typing import Any

from lapishaven.client.engine import Hook
from lapishaven.client.settings import SettingsError

# Events that are logged as warnings; the others are logged at debug level.
WARNING_EVENTS = {"left out", "back in", "silent", "list held back", "list empty", "catalog failed", "end uncertain"}
END_EVENT_PREFIX = "end "  # followed by the outcome's name
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0)


def both(*hooks: Hook) -> Hook:
    """One hook that passes each event to several."""

    def report(now: float, event: str, fields: dict[str, Any]) -> None:
        for hook in hooks:
            hook(now, event, fields)

    return report


def logging_hook(logger: Any = None) -> Hook:
    """Log each event as one line to a structlog logger (by default ``lapishaven.client``).

    Bodies and keys of calls are never among the fields. Raises ``SettingsError`` if structlog is not installed.
    """
    if logger is None:
        try:
            import structlog
        except ImportError:
            raise SettingsError("logging needs structlog: install lapishaven[client]") from None
        logger = structlog.get_logger("lapishaven.client")

    def report(now: float, event: str, fields: dict[str, Any]) -> None:
        log = logger.warning if event in WARNING_EVENTS else logger.debug
        log(event, monotonic=round(now, 6), **fields)

    return report


def metrics_hook(registry: Any = None) -> Hook:
    """Count events in prometheus-client: ``lapishaven_client_events_total`` by event, and the seconds of calls by
    class and end in ``lapishaven_client_call_seconds``.

    Raises ``SettingsError`` if prometheus-client is not installed.
    """
    try:
        from prometheus_client import REGISTRY, Counter, Histogram
    except ImportError:
        raise SettingsError("metrics need prometheus-client: install lapishaven[client]") from None
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
