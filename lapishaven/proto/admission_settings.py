"""Parses the JSON settings of an instance, as the platform and the simulator provide them, into ``Settings``."""

from __future__ import annotations

import json
import sys
from typing import Any, NamedTuple

from lapishaven.admission import Idempotency, RequestClass, Settings, Tenant

MAX_NUMBER = sys.float_info.max  # JSON also allows infinities, and whole numbers that no float can hold
IDEMPOTENCY_TYPES = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.WITH_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
LOAD_SIGNAL_TYPES = {"threshold": "level", "window": "window", "share_of": "weight", "silent": None}
CANCELLATION_TYPES = {"abort": "abort", "suspend": "pause", "silent": None}


class SettingsError(ValueError):
    """A setting is missing or invalid. ``path`` names it, such as ``extra.cores``; it is empty for the whole text."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path} {problem}" if path else problem)
        self.path = path
        self.problem = problem


class InstanceSettings(NamedTuple):
    """The settings of an instance."""

    settings: Settings
    gauge_names: tuple[str, ...]
    """Names of the gauges in a load sample, in the order of their values."""


class _Table:
    """A JSON object; its methods raise ``SettingsError`` with the path of the setting."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise SettingsError(path or "settings", f"must be a JSON object, found {data!r:.60}")
        self.data: dict[str, Any] = data
        self._path = path

    def _path_of(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def table(self, key: str) -> _Table:
        """A nested object."""
        return _Table(self.data.get(key), self._path_of(key))

    def tables(self, key: str) -> list[_Table]:
        """A list of objects."""
        rows = self.data.get(key)
        path = self._path_of(key)
        if not isinstance(rows, list):
            raise SettingsError(path, f"must be a list, found {rows!r:.60}")
        return [_Table(row, f"{path}[{index}]") for index, row in enumerate(rows)]

    def number(self, key: str) -> float:
        """A required number."""
        value = self.optional_number(key)
        if value is None:
            raise SettingsError(self._path_of(key), "is missing, a number is required")
        return value

    def optional_number(self, key: str) -> float | None:
        """An optional number; ``None`` if it is absent."""
        value = self.data.get(key)
        if value is None:
            return None
        if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) <= MAX_NUMBER:
            raise SettingsError(self._path_of(key), f"must be a number, found {value!r:.60}")
        return float(value)

    def flag(self, key: str) -> bool:
        """Whether a value is present and true."""
        return bool(self.data.get(key))

    def choice(self, key: str, choices: dict[str, Any]) -> Any:
        """The entry of ``choices`` for the value, which must be one of its keys."""
        value = self.data.get(key)
        if not isinstance(value, str) or value not in choices:
            raise SettingsError(self._path_of(key), f"must be one of {', '.join(choices)}, found {value!r:.60}")
        return choices[value]

    def item(self, key: str, index: int) -> Any:
        """An item of an optional list; ``None`` if the list is absent or too short."""
        items = self.data.get(key)
        return items[index] if isinstance(items, list) and index < len(items) else None


def parse_settings(text: str | bytes) -> InstanceSettings:
    """Parse the settings of an instance from JSON text. Unknown keys are ignored. Raises ``SettingsError``."""
    try:
        data = json.loads(text)
    except ValueError:
        raise SettingsError("", f"the settings are not JSON: {text[:60]!r}") from None
    top = _Table(data, "")
    extra = top.table("extra")
    obligations = top.table("obligations")
    limits = top.table("limits")
    classes = tuple(_request_class(row, extra, index) for index, row in enumerate(top.tables("profiles")))
    tenants = _tenants(top)
    gauge_names = extra.data.get("gauges")
    if not isinstance(gauge_names, list):
        raise SettingsError("extra.gauges", f"must be a list of names, found {gauge_names!r:.60}")
    settings = _settings(top, extra, obligations, limits, classes, tenants)
    return InstanceSettings(settings, tuple(str(name) for name in gauge_names))


def _settings(
    top: _Table,
    extra: _Table,
    obligations: _Table,
    limits: _Table,
    classes: tuple[RequestClass, ...],
    tenants: tuple[Tenant, ...],
) -> Settings:
    max_retry_after = limits.optional_number("max-retry-after")
    callers = _Table(top.data.get("callers") or {}, "callers")
    return Settings(
        classes=classes,
        tenants=tenants,
        cores=int(extra.number("cores")),
        memory_kb=extra.number("memory-kb"),
        running_memory_factor=extra.number("run-factor"),
        key_entry_kb=extra.optional_number("key-kb") or 0.0,
        peer_count=int(top.number("peers-total")),
        caller_count=int(extra.optional_number("upstreams") or 1),
        slow_start=extra.flag("cold"),
        slow_start_span=obligations.number("cold"),
        slow_start_initial_speed=obligations.number("cold-from"),
        collapse_concurrency=obligations.number("fall-multiple"),
        collapse_span=obligations.number("tip-after"),
        drain_grace=obligations.number("drain-grace"),
        response_slack=obligations.number("answer-slack"),
        over_quota_weight=top.optional_number("over-share-worth") or 0.0,
        weight_per_work=top.data.get("value-by") == "work",
        max_retry_after=max_retry_after if limits.flag("retry-after") else None,
        load_signal=extra.choice("say", LOAD_SIGNAL_TYPES),
        load_signal_ttl=extra.optional_number("said-for") or 0.0,
        cancellation=extra.choice("halt", CANCELLATION_TYPES),
        result_freshness=extra.optional_number("fresh") or 0.0,
        dependency_quota=extra.optional_number("fair-calls") if extra.data.get("below") == "shared" else None,
        dependency_window=extra.optional_number("dep-window") or 0.0,
        dependency_linger=extra.optional_number("linger") or 0.0,
        propagates_deadline=extra.flag("passes-deadline"),
        reports_cancellation=extra.flag("tells-gone"),
        marks_retries=callers.flag("marks-retry"),
        deep_health_checks=extra.flag("deep-checks"),
        registry_follows_health=extra.flag("registry-follows"),
        idle_timeout=extra.optional_number("idle"),
    )


def _request_class(row: _Table, extra: _Table, index: int) -> RequestClass:
    return RequestClass(
        name=str(row.data.get("name", "")),
        latency_objective=row.number("aim"),
        deadline=row.number("deadline"),
        priority_weight=row.number("credit"),
        idempotency=row.choice("effect", IDEMPOTENCY_TYPES),
        late_weight=row.optional_number("late-worth") or 0.0,
        idempotency_window=row.optional_number("window"),
        calls_dependency=bool(extra.item("calls-by-class", index)),
        degraded_weight=float(extra.item("class-skip-worth", index) or 0.0),
        objective_per_cost=row.optional_number("aim-stretch"),
    )


def _tenants(top: _Table) -> tuple[Tenant, ...]:
    if not top.data.get("customers"):
        return ()
    return tuple(
        Tenant(str(row.data.get("name", "")), row.number("allowance-per-s")) for row in top.tables("customers")
    )
