"""Hooks for the life of a call: structured log events, and metrics by the Prometheus conventions."""

from __future__ import annotations

from typing import Any

from lapishaven.client.engine import Hook
from lapishaven.client.settings import SettingsError

# Events that one wants to see in a log; the rest is said at debug level.
WARNING_EVENTS = {"left out", "back in", "silent", "list held back", "list empty", "catalog failed", "end uncertain"}
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0)


def both(*hooks: Hook) -> Hook:
    """One hook that tells each of several."""

    def tell(now: float, event: str, fields: dict[str, Any]) -> None:
        for hook in hooks:
            hook(now, event, fields)

    return tell


def logging_hook(logger: Any = None) -> Hook:
    """Events to a structlog logger: one event, one line; bodies and keys are never among the fields."""
    if logger is None:
        try:
            import structlog
        except ImportError:
            raise SettingsError("logging needs structlog: install lapishaven[client]") from None
        logger = structlog.get_logger("lapishaven.client")

    def tell(now: float, event: str, fields: dict[str, Any]) -> None:
        say = logger.warning if event in WARNING_EVENTS else logger.debug
        say(event, monotonic=round(now, 6), **fields)

    return tell


def metrics_hook(registry: Any = None) -> Hook:
    """Events to prometheus-client: ``lapishaven_client_events_total`` by event, and calls' seconds by class
    and end in ``lapishaven_client_call_seconds``."""
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

    def tell(now: float, event: str, fields: dict[str, Any]) -> None:
        events.labels(event).inc()
        if event.startswith("end "):
            calls.labels(fields["cls"], event[4:]).observe(fields["span"])

    return tell
