"""Binary codec and its translation to and from ``interface``. It holds no decision.

The frame layout is the simulator's; a malformed frame raises ``WireError`` with the record and field.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from struct import Struct
from typing import Any

from lapishaven.admission import (
    Action,
    AwaitOriginal,
    CallDependency,
    CancelRun,
    DependencyCallFinished,
    DependencyCallNeeded,
    DrainRequested,
    Event,
    Fail,
    Idempotency,
    LoadSample,
    Log,
    Outcome,
    PublishLoad,
    Reject,
    ReleaseKey,
    RequestArrived,
    RequestCancelled,
    RequestClass,
    ReserveKey,
    RunFinished,
    ScheduleTimer,
    SetHealth,
    SetIdleTimeout,
    Settings,
    SkipDependency,
    StartRun,
    Tenant,
)

HEADER = Struct(">IIdI")
REPLY = Struct(">III")
RECORD, ACTION = 56, 16
NEEDED, DOWN, SELECT, BORN = 40, 90, 100, 10

_U16 = Struct(">H")
_U32 = Struct(">I")
_F64 = Struct(">d")
_BORN = Struct(">QII")
_ARRIVAL = Struct(">IfHdHdBBfQdI")
_FINISHED = Struct(">IdH")
_CALLED = Struct(">IHd")
_POLL = Struct(">IB")

_EFFECTS = {"free": Idempotency.IDEMPOTENT, "guarded": Idempotency.WITH_KEY, "single_shot": Idempotency.NOT_IDEMPOTENT}
_SAYS = {"threshold": "level", "window": "window", "share_of": "weight", "silent": None}
_HALTS = {"abort": "abort", "suspend": "pause", "silent": None}


class WireError(ValueError):
    """A frame or settings text that breaks the wire's rules."""


class _Table:
    """A JSON object that names the missing or mistyped setting."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise WireError(f"BORN profile-data: {path or 'settings'} is not an object")
        self.data, self.path = data, path

    def _name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def table(self, key: str) -> _Table:
        return _Table(self.data.get(key), self._name(key))

    def tables(self, key: str) -> list[_Table]:
        rows = self.data.get(key)
        if not isinstance(rows, list):
            raise WireError(f"BORN profile-data: {self._name(key)} is not a list")
        return [_Table(row, f"{self._name(key)}[{n}]") for n, row in enumerate(rows)]

    def number(self, key: str) -> float:
        value = self.optional(key)
        if value is None:
            raise WireError(f"BORN profile-data: {self._name(key)} is missing")
        return value

    def optional(self, key: str) -> float | None:
        value = self.data.get(key)
        if value is None:
            return None
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise WireError(f"BORN profile-data: {self._name(key)} is not a number")
        return float(value)

    def flag(self, key: str) -> bool:
        return bool(self.data.get(key))

    def word(self, key: str, words: dict[str, Any]) -> Any:
        value = self.data.get(key)
        if not isinstance(value, str) or value not in words:
            raise WireError(f"BORN profile-data: {self._name(key)} is {value!r}")
        return words[value]

    def place(self, key: str, n: int) -> Any:
        row = self.data.get(key)
        return row[n] if isinstance(row, list) and n < len(row) else None


def settings(text: bytes) -> tuple[Settings, tuple[str, ...]]:
    """Settings from the start text, and the gauges' names in their order."""
    try:
        top = _Table(json.loads(text), "")
    except ValueError as error:
        if isinstance(error, WireError):
            raise
        raise WireError("BORN profile-data: not JSON") from None
    extra, rules, limits = top.table("extra"), top.table("obligations"), top.table("limits")
    classes = tuple(
        RequestClass(
            name=str(row.data.get("name", "")),
            latency_objective=row.number("aim"),
            deadline=row.number("deadline"),
            priority_weight=row.number("credit"),
            idempotency=row.word("effect", _EFFECTS),
            late_weight=row.optional("late-worth") or 0.0,
            idempotency_window=row.optional("window"),
            calls_dependency=bool(extra.place("calls-by-class", n)),
            degraded_weight=float(extra.place("class-skip-worth", n) or 0.0),
            objective_per_cost=row.optional("aim-stretch"),
        )
        for n, row in enumerate(top.tables("profiles"))
    )
    tenants = tuple(
        Tenant(str(row.data.get("name", "")), row.number("allowance-per-s"))
        for row in (top.tables("customers") if top.data.get("customers") else [])
    )
    gauges = extra.data.get("gauges")
    if not isinstance(gauges, list):
        raise WireError("BORN profile-data: extra.gauges is not a list")
    advice = limits.optional("max-retry-after")
    callers = _Table(top.data.get("callers") or {}, "callers")
    return Settings(
        classes=classes,
        tenants=tenants,
        cores=int(extra.number("cores")),
        memory_kb=extra.number("memory-kb"),
        running_memory_factor=extra.number("run-factor"),
        key_entry_kb=extra.optional("key-kb") or 0.0,
        peer_count=int(top.number("peers-total")),
        caller_count=int(extra.optional("upstreams") or 1),
        slow_start=extra.flag("cold"),
        slow_start_span=rules.number("cold"),
        slow_start_initial_speed=rules.number("cold-from"),
        collapse_concurrency=rules.number("fall-multiple"),
        collapse_span=rules.number("tip-after"),
        drain_grace=rules.number("drain-grace"),
        response_slack=rules.number("answer-slack"),
        over_quota_weight=top.optional("over-share-worth") or 0.0,
        weight_per_request=top.data.get("value-by") == "work",
        max_retry_after=advice if limits.flag("retry-after") else None,
        load_signal=extra.word("say", _SAYS),
        load_signal_ttl=extra.optional("said-for") or 0.0,
        cancellation=extra.word("halt", _HALTS),
        result_freshness=extra.optional("fresh") or 0.0,
        dependency_quota=extra.optional("fair-calls") if extra.data.get("below") == "shared" else None,
        dependency_window=extra.optional("dep-window") or 0.0,
        dependency_linger=extra.optional("linger") or 0.0,
        propagates_deadline=extra.flag("passes-deadline"),
        reports_cancellation=extra.flag("tells-gone"),
        marks_retries=callers.flag("marks-retry"),
        deep_health_checks=extra.flag("deep-checks"),
        registry_follows_health=extra.flag("registry-follows"),
        idle_timeout=extra.optional("idle"),
    ), tuple(str(name) for name in gauges)


def _outcome(code: int, where: str) -> Outcome:
    try:
        return Outcome(code)
    except ValueError:
        raise WireError(f"{where} result: {code} is no outcome") from None


def decode_event(code: int, body: memoryview, at: int, gauges: Callable[[], tuple[str, ...]]) -> Event | None:
    """One event record as an interface event; ``None`` for a code that is unknown."""
    if code == 20:
        (xid, kb, tenant, due, caller, age, opts, cls, rank, subject, cost, repeats) = _ARRIVAL.unpack_from(
            body, at + 1
        )
        return RequestArrived(
            xid,
            kb,
            tenant,
            due or None,
            caller,
            age,
            bool(opts & 2),
            bool(opts & 4),
            cls,
            rank,
            subject or None,
            cost if opts & 1 else None,
            repeats or None,
        )
    if code == 30:
        xid, spent, result = _FINISHED.unpack_from(body, at + 1)
        return RunFinished(xid, spent, _outcome(result, "FINISHED"))
    if code == 40:
        return DependencyCallNeeded(_U32.unpack_from(body, at + 1)[0])
    if code == 50:
        xid, result, spent = _CALLED.unpack_from(body, at + 1)
        return DependencyCallFinished(xid, _outcome(result, "DOWNSTREAM"), spent)
    if code == 60:
        return DrainRequested(_F64.unpack_from(body, at + 1)[0])
    if code == 70:
        return RequestCancelled(_U32.unpack_from(body, at + 1)[0])
    if code == 80:
        mark, count = _POLL.unpack_from(body, at + 1)
        if 6 + 4 * count > RECORD:
            raise WireError(f"TIMER pressure: {count} values do not fit a record")
        values = dict(zip(gauges(), Struct(f">{count}f").unpack_from(body, at + 6), strict=False))
        told = (values.get(name) for name in ("core_use", "on_cores", "heap_share", "links"))
        return LoadSample(mark, *told)
    return None


def tail_slice(body: memoryview, start: int, offset: int, length: int, where: str) -> bytes:
    """Bytes of a frame's tail, checked against its end."""
    if start + offset + length > len(body):
        raise WireError(f"{where}: tail out of range")
    return bytes(body[start + offset : start + offset + length])


def records(body: memoryview, count: int) -> Iterator[tuple[int, int]]:
    """Each record's code and position."""
    if count * RECORD > len(body):
        raise WireError(f"frame length: {len(body)} bytes do not hold {count} records")
    for at in range(0, count * RECORD, RECORD):
        yield body[at], at


def instance_of(body: memoryview, at: int) -> int:
    """The instance that a SELECT record names."""
    number: int = _U16.unpack_from(body, at + 1)[0]
    return number


def born(body: memoryview, at: int, count: int) -> tuple[int, bytes]:
    """Seed and settings text of a BORN record."""
    seed, offset, length = _BORN.unpack_from(body, at + 1)
    return seed, tail_slice(body, count * RECORD, offset, length, "BORN profile-data")


_ID = Struct(">BI11x")
_REFUSE = Struct(">BIdB2x")
_ID_SPAN = Struct(">BId3x")
_SPAN = Struct(">Bd7x")
_TIMER = Struct(">BdI3x")
_HEALTH = Struct(">BBB13x")
_SAY = Struct(">Bf11x")
_TEXT = Struct(">BII7x")
_FOR = Struct(">BH13x")
_IDS: dict[type, int] = {
    StartRun: 10,
    Fail: 30,
    CancelRun: 40,
    SkipDependency: 60,
    ReleaseKey: 80,
    AwaitOriginal: 90,
}


class Reply:
    """Builds one reply frame."""

    __slots__ = ("records", "tail", "tail_size")

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail: list[bytes] = []
        self.tail_size = 0

    def select(self, instance: int) -> None:
        self.records.append(_FOR.pack(160, instance))

    def _text(self, code: int, text: str) -> None:
        data = text.encode("utf-8", "replace")
        self.records.append(_TEXT.pack(code, self.tail_size, len(data)))
        self.tail.append(data)
        self.tail_size += len(data)

    def die(self, text: str) -> None:
        self._text(150, text)

    def add(self, action: Action) -> None:
        kind = type(action)
        if kind in _IDS:
            self.records.append(_ID.pack(_IDS[kind], action.request_id))  # type: ignore[union-attr]
        elif isinstance(action, Reject):
            self.records.append(
                _REFUSE.pack(20, action.request_id, action.retry_after or 0.0, action.no_retry_elsewhere)
            )
        elif isinstance(action, CallDependency):
            self.records.append(_ID_SPAN.pack(50, action.request_id, action.timeout))
        elif isinstance(action, ReserveKey):
            self.records.append(_ID_SPAN.pack(70, action.request_id, action.ttl))
        elif isinstance(action, ScheduleTimer):
            self.records.append(_TIMER.pack(130, action.delay, action.timer_id))
        elif isinstance(action, PublishLoad):
            self.records.append(_SAY.pack(110, action.value))
        elif isinstance(action, SetHealth):
            self.records.append(_HEALTH.pack(100, True, action.healthy))
        elif isinstance(action, SetIdleTimeout):
            self.records.append(_SPAN.pack(120, action.timeout))
        elif isinstance(action, Log):
            self._text(140, action.text)
        else:
            raise TypeError(f"no wire form for {kind.__name__}")

    def frame(self, number: int) -> bytes:
        size = len(self.records) * ACTION + self.tail_size
        return b"".join((REPLY.pack(number, len(self.records), size), *self.records, *self.tail))
