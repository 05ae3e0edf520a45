"""The binary codec of the simulator's frames: decodes events and encodes actions.

A batch consists of a header, event records of a fixed size, and a tail for data of variable size; a reply has the same
structure. The codes and the field names in comments are those of the adapter protocol. A malformed frame raises
``WireError`` with the record and the field.
"""

from __future__ import annotations

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
    LoadSample,
    Log,
    Outcome,
    PublishLoad,
    Reject,
    ReleaseKey,
    RequestArrived,
    RequestCancelled,
    ReserveKey,
    RunFinished,
    ScheduleTimer,
    SetHealth,
    SetIdleTimeout,
    SkipDependency,
    StartRun,
)
from lapishaven.proto.admission_settings import InstanceSettings, SettingsError, parse_settings

BATCH_HEADER = Struct(">IIdI")
"""Batch number, bytes after the header, clock time in seconds, number of records."""
REPLY_HEADER = Struct(">III")
"""Batch number, number of records, bytes after the header."""
EVENT_RECORD_SIZE = 56
ACTION_RECORD_SIZE = 16


class EventCode:
    """The first byte of a record in a batch. Plain integers, because an enum is too slow for each record."""

    BORN = 10
    ARRIVAL = 20
    FINISHED = 30
    NEEDS_DEP = 40
    DOWNSTREAM = 50
    WIND_DOWN = 60
    EXPIRED = 70
    TIMER = 80
    DOWN = 90
    SELECT = 100


class ActionCode:
    """The first byte of a record in a reply."""

    SERVE = 10
    REFUSE = 20
    SURRENDER = 30
    STOP = 40
    CALL_DEP = 50
    BYPASS = 60
    MEMO = 70
    FORGET = 80
    ATTACH = 90
    FITNESS = 100
    HINT_OUT = 110
    TRIM_AFTER = 120
    SCHEDULE = 130
    REMARK = 140
    DIE = 150
    FOR = 160


class WireError(ValueError):
    """A frame, or the settings text in it, violates the adapter protocol."""


def decode_settings(text: bytes) -> InstanceSettings:
    """Parse the settings text of a BORN record."""
    try:
        return parse_settings(text)
    except SettingsError as error:
        raise WireError(f"BORN profile-data: {error}") from None


# Events. The layouts start after the code.
_SELECT = Struct(">H")  # i
_BORN = Struct(">QII")  # random-seed, offset and length of profile-data
_ARRIVAL = Struct(">IfHdHdBBfQdI")  # xid, footprint, account, valid-until, src, queued-for, opts, category, prio,
# subject, hint, repeats
_FINISHED = Struct(">IdH")  # xid, spent, result
_XID = Struct(">I")
_DOWNSTREAM = Struct(">IHd")  # xid, result, spent
_WIND_DOWN = Struct(">d")  # time at which the process is stopped
_TIMER = Struct(">IB")  # mark, number of gauges
_GAUGES_OFFSET = 6
_GAUGE_SIZE = 4
_GAUGES = ("core_use", "on_cores", "heap_share", "links")  # the gauges of a ``LoadSample``, in the order of its fields

_OPT_HINT_VALID = 1
_OPT_IS_RETRY = 2
_OPT_IS_WRITE = 4


def split_records(body: memoryview, count: int) -> Iterator[tuple[int, int]]:
    """Yield the code and the offset of each record of a batch."""
    if count * EVENT_RECORD_SIZE > len(body):
        raise WireError(f"frame body has {len(body)} bytes, too few for {count} records of {EVENT_RECORD_SIZE} bytes")
    for offset in range(0, count * EVENT_RECORD_SIZE, EVENT_RECORD_SIZE):
        yield body[offset], offset


def decode_select(body: memoryview, offset: int) -> int:
    """The instance number in a SELECT record."""
    instance: int = _SELECT.unpack_from(body, offset + 1)[0]
    return instance


def decode_born(body: memoryview, offset: int, record_count: int) -> tuple[int, bytes]:
    """The seed and the settings text of a BORN record in a batch of ``record_count`` records."""
    seed, tail_offset, length = _BORN.unpack_from(body, offset + 1)
    start = record_count * EVENT_RECORD_SIZE + tail_offset
    if start + length > len(body):
        raise WireError(
            f"BORN profile-data: bytes {start} to {start + length} exceed the frame body of {len(body)} bytes"
        )
    return seed, bytes(body[start : start + length])


def decode_event(code: int, body: memoryview, offset: int, gauge_names: tuple[str, ...]) -> Event | None:
    """The event in the record at ``offset``; ``None`` if the code is unknown.

    ``gauge_names`` are the gauges of a TIMER record, from the instance's settings.
    """
    decoder = _EVENT_DECODERS.get(code)
    if decoder is not None:
        return decoder(body, offset + 1)
    return _decode_timer(body, offset + 1, gauge_names) if code == EventCode.TIMER else None


def _decode_arrival(body: memoryview, offset: int) -> RequestArrived:
    (
        request_id,
        memory_kb,
        tenant_index,
        deadline,
        caller_id,
        age,
        options,
        class_index,
        rank,
        subject,
        cost_hint,
        duplicate_of,
    ) = _ARRIVAL.unpack_from(body, offset)
    return RequestArrived(
        request_id,
        memory_kb,
        tenant_index,
        deadline or None,
        caller_id,
        age,
        bool(options & _OPT_IS_RETRY),
        bool(options & _OPT_IS_WRITE),
        class_index,
        rank,
        subject or None,
        cost_hint if options & _OPT_HINT_VALID else None,
        duplicate_of or None,
    )


def _decode_finished(body: memoryview, offset: int) -> RunFinished:
    request_id, elapsed, result = _FINISHED.unpack_from(body, offset)
    return RunFinished(request_id, elapsed, _decode_outcome(result, "FINISHED"))


def _decode_needs_dep(body: memoryview, offset: int) -> DependencyCallNeeded:
    return DependencyCallNeeded(_XID.unpack_from(body, offset)[0])


def _decode_downstream(body: memoryview, offset: int) -> DependencyCallFinished:
    request_id, result, elapsed = _DOWNSTREAM.unpack_from(body, offset)
    return DependencyCallFinished(request_id, _decode_outcome(result, "DOWNSTREAM"), elapsed)


def _decode_wind_down(body: memoryview, offset: int) -> DrainRequested:
    return DrainRequested(_WIND_DOWN.unpack_from(body, offset)[0])


def _decode_expired(body: memoryview, offset: int) -> RequestCancelled:
    return RequestCancelled(_XID.unpack_from(body, offset)[0])


def _decode_timer(body: memoryview, offset: int, gauge_names: tuple[str, ...]) -> LoadSample:
    timer_id, count = _TIMER.unpack_from(body, offset)
    if _GAUGES_OFFSET + _GAUGE_SIZE * count > EVENT_RECORD_SIZE:
        raise WireError(f"TIMER pressure: {count} values do not fit in a record of {EVENT_RECORD_SIZE} bytes")
    values = Struct(f">{count}f").unpack_from(body, offset + _TIMER.size)
    gauges = dict(zip(gauge_names, values, strict=False))
    return LoadSample(timer_id, *(gauges.get(name) for name in _GAUGES))


def _decode_outcome(code: int, record: str) -> Outcome:
    try:
        return Outcome(code)
    except ValueError:
        raise WireError(f"{record} result: {code} is not the code of an outcome") from None


_EVENT_DECODERS: dict[int, Callable[[memoryview, int], Event]] = {
    EventCode.ARRIVAL: _decode_arrival,
    EventCode.FINISHED: _decode_finished,
    EventCode.NEEDS_DEP: _decode_needs_dep,
    EventCode.DOWNSTREAM: _decode_downstream,
    EventCode.WIND_DOWN: _decode_wind_down,
    EventCode.EXPIRED: _decode_expired,
}


# Actions. The layouts include the code and the padding of the record.
_CODE_XID = Struct(">BI11x")
_REFUSE = Struct(">BIdB2x")  # xid, wait, last
_CODE_XID_SECONDS = Struct(">BId3x")
_TRIM_AFTER = Struct(">Bd7x")  # after
_SCHEDULE = Struct(">BdI3x")  # delay, mark
_FITNESS = Struct(">BBB13x")  # from-state, healthy
_HINT_OUT = Struct(">Bf11x")  # value
_CODE_TEXT = Struct(">BII7x")  # offset and length of the text in the tail
_FOR = Struct(">BH13x")  # i


def _request_encoder(code: int) -> Callable[[Any], bytes]:
    """Make an encoder for actions whose only field is the request id."""
    return lambda action: _CODE_XID.pack(code, action.request_id)


def _encode_reject(action: Reject) -> bytes:
    return _REFUSE.pack(ActionCode.REFUSE, action.request_id, action.retry_after or 0.0, action.no_retry_elsewhere)


def _encode_call(action: CallDependency) -> bytes:
    return _CODE_XID_SECONDS.pack(ActionCode.CALL_DEP, action.request_id, action.timeout)


def _encode_reserve_key(action: ReserveKey) -> bytes:
    return _CODE_XID_SECONDS.pack(ActionCode.MEMO, action.request_id, action.ttl)


def _encode_health(action: SetHealth) -> bytes:
    return _FITNESS.pack(ActionCode.FITNESS, True, action.healthy)


def _encode_load(action: PublishLoad) -> bytes:
    return _HINT_OUT.pack(ActionCode.HINT_OUT, action.value)


def _encode_idle_timeout(action: SetIdleTimeout) -> bytes:
    return _TRIM_AFTER.pack(ActionCode.TRIM_AFTER, action.timeout)


def _encode_timer(action: ScheduleTimer) -> bytes:
    return _SCHEDULE.pack(ActionCode.SCHEDULE, action.delay, action.timer_id)


_ACTION_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    StartRun: _request_encoder(ActionCode.SERVE),
    Reject: _encode_reject,
    Fail: _request_encoder(ActionCode.SURRENDER),
    CancelRun: _request_encoder(ActionCode.STOP),
    CallDependency: _encode_call,
    SkipDependency: _request_encoder(ActionCode.BYPASS),
    ReserveKey: _encode_reserve_key,
    ReleaseKey: _request_encoder(ActionCode.FORGET),
    AwaitOriginal: _request_encoder(ActionCode.ATTACH),
    SetHealth: _encode_health,
    PublishLoad: _encode_load,
    SetIdleTimeout: _encode_idle_timeout,
    ScheduleTimer: _encode_timer,
}


class Reply:
    """Builds one reply frame."""

    __slots__ = ("_records", "_tail", "_tail_size")

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail: list[bytes] = []
        self._tail_size = 0

    def select(self, instance: int) -> None:
        """Begin the records of an instance."""
        self._records.append(_FOR.pack(ActionCode.FOR, instance))

    def add(self, action: Action) -> None:
        """Add an action. Raises ``TypeError`` if the adapter protocol has no record for it."""
        encoder = _ACTION_ENCODERS.get(type(action))
        if encoder is not None:
            self._records.append(encoder(action))
        elif isinstance(action, Log):
            self._add_text(ActionCode.REMARK, action.text)
        else:
            raise TypeError(f"the adapter protocol has no record for the action {type(action).__name__}")

    def add_failure(self, text: str) -> None:
        """Report that the instance has failed."""
        self._add_text(ActionCode.DIE, text)

    def frame(self, number: int) -> bytes:
        """Encode the reply frame to batch ``number``."""
        size = len(self._records) * ACTION_RECORD_SIZE + self._tail_size
        header = REPLY_HEADER.pack(number, len(self._records), size)
        return b"".join((header, *self._records, *self._tail))

    def _add_text(self, code: int, text: str) -> None:
        data = text.encode("utf-8", "replace")
        self._records.append(_CODE_TEXT.pack(code, self._tail_size, len(data)))
        self._tail.append(data)
        self._tail_size += len(data)
