"""The codec and the adapter on frames built here: round trips, frame limits, and the errors of malformed frames."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from typing import Any

import pytest

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
from lapishaven.simulator import adapter, codec

SETTINGS: dict[str, Any] = {
    "customers": [{"name": "t", "allowance-per-s": 10.0, "portion": 1.0}],
    "callers": {"marks-retry": True},
    "extra": {
        "below": "shared",
        "calls-by-class": [True],
        "class-skip-worth": [0.3],
        "cold": True,
        "cores": 6,
        "dep-window": 5.0,
        "fair-calls": 5.0,
        "fresh": 0.0,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
        "halt": "abort",
        "idle": 15.0,
        "key-kb": 9.0,
        "linger": 0.2,
        "memory-kb": 1000.0,
        "registry-follows": True,
        "run-factor": 16.0,
        "said-for": 1.0,
        "say": "threshold",
        "tells-gone": True,
        "upstreams": 3,
        "unheard-of": [1],
    },
    "limits": {"max-retry-after": 1.0, "retry-after": True},
    "obligations": {
        "answer-slack": 0.08,
        "cold": 18.0,
        "cold-from": 0.2,
        "drain-grace": 2.5,
        "fall-multiple": 5.0,
        "tip-after": 3.0,
    },
    "peers-total": 11,
    "profiles": [
        {"aim": 3.0, "credit": 1.0, "deadline": 9.0, "effect": "guarded", "late-worth": 0.1, "name": "c", "window": 5.0}
    ],
    "value-by": "work",
}


def record(code: int, packed: bytes = b"") -> bytes:
    return (bytes([code]) + packed).ljust(56, b"\0")


def frame(records: list[bytes], tail: bytes = b"", now: float = 1.0, number: int = 7) -> bytes:
    body = b"".join(records) + tail
    return struct.pack(">IIdI", number, len(body), now, len(records)) + body


def select(n: int) -> bytes:
    return record(100, struct.pack(">H", n))


def born(offset: int, length: int, seed: int = 5) -> bytes:
    return record(10, struct.pack(">QII", seed, offset, length))


def arrival(xid: int, opts: int = 0) -> bytes:
    return record(20, struct.pack(">IfHdHdBBfQdI", xid, 20.0, 0, 9.5, 3, 0.01, opts, 0, 0.25, 77, 0.3, 0))


def run(data: bytes) -> list[tuple[int, list[bytes], bytes]]:
    """Feed batches to the adapter; returns the number, the records and the tail of each reply."""
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(data), sink)
    replies, raw = [], sink.getvalue()
    while raw:
        number, count, length = struct.unpack_from(">III", raw)
        body = raw[12 : 12 + length]
        replies.append((number, [body[16 * n : 16 * n + 16] for n in range(count)], body[16 * count :]))
        raw = raw[12 + length :]
    return replies


SETTINGS_TEXT = json.dumps(SETTINGS).encode()


def test_an_empty_batch_has_an_empty_reply() -> None:
    assert run(frame([])) == [(7, [], b"")]


def test_a_reply_has_records_only_of_instances_with_events() -> None:
    first, second = run(
        frame([select(3), born(0, len(SETTINGS_TEXT)), select(4), born(0, len(SETTINGS_TEXT))], SETTINGS_TEXT)
        + frame([select(4), arrival(99)], now=1.1)
    )
    assert {r[1:3] for r in first[1] if r[0] == 160} == {b"\0\3", b"\0\4"}
    assert [r[1:3] for r in second[1] if r[0] == 160] == [b"\0\4"]
    assert struct.pack(">BI", 10, 99) in [r[:5] for r in second[1]]


def test_down_and_born_in_one_batch_restart_the_instance() -> None:
    replies = run(
        frame([select(3), born(0, len(SETTINGS_TEXT))], SETTINGS_TEXT)
        + frame([select(3), record(90), born(0, len(SETTINGS_TEXT)), arrival(5)], SETTINGS_TEXT)
        + frame([select(3), record(90)])
    )
    codes = [r[0] for r in replies[1][1]]
    assert codes[0] == 160 and 100 in codes and 10 in codes
    assert replies[2][1] == []


def test_every_arrival_of_a_batch_of_5000_records_is_read() -> None:
    reply = run(frame([select(1), born(0, len(SETTINGS_TEXT))] + [arrival(n) for n in range(1, 5001)], SETTINGS_TEXT))[
        0
    ]
    assert len({r[1:5] for r in reply[1] if r[0] in (10, 20)}) > 1000


def test_arrival_fields_are_decoded_and_zeros_mean_absent() -> None:
    body = memoryview(arrival(9, opts=7))
    event = codec.decode_event(20, body, 0, ())
    assert isinstance(event, RequestArrived)
    assert (event.request_id, event.caller_id, event.class_index, event.subject, event.deadline) == (9, 3, 0, 77, 9.5)
    assert event.cost_hint == 0.3 and event.is_retry and event.is_write and event.duplicate_of is None
    bare = codec.decode_event(20, memoryview(record(20)), 0, ())
    assert (
        isinstance(bare, RequestArrived) and bare.deadline is None and bare.cost_hint is None and bare.subject is None
    )


@pytest.mark.parametrize(
    ("packed", "code", "event"),
    [
        (struct.pack(">IdH", 4, 0.5, 7), 30, RunFinished(4, 0.5, Outcome.CANCELLED)),
        (struct.pack(">I", 4), 40, DependencyCallNeeded(4)),
        (struct.pack(">IHd", 4, 3, 0.5), 50, DependencyCallFinished(4, Outcome.OVERLOADED, 0.5)),
        (struct.pack(">d", 4.5), 60, DrainRequested(4.5)),
        (struct.pack(">I", 4), 70, RequestCancelled(4)),
        (struct.pack(">IB2f", 4, 2, 0.5, 0.25), 80, LoadSample(4, 0.5, None, None, 0.25)),
    ],
)
def test_events_are_decoded(packed: bytes, code: int, event: Event) -> None:
    names = ("core_use", "links")
    assert codec.decode_event(code, memoryview(record(code, packed)), 0, names) == event


@pytest.mark.parametrize(
    ("action", "packed"),
    [
        (StartRun(4), struct.pack(">BI", 10, 4)),
        (Reject(4, "load", 0.5, True), struct.pack(">BIdB", 20, 4, 0.5, 1)),
        (Fail(4, "due"), struct.pack(">BI", 30, 4)),
        (CancelRun(4), struct.pack(">BI", 40, 4)),
        (CallDependency(4, 0.5), struct.pack(">BId", 50, 4, 0.5)),
        (SkipDependency(4), struct.pack(">BI", 60, 4)),
        (ReserveKey(4, 8.0), struct.pack(">BId", 70, 4, 8.0)),
        (ReleaseKey(4), struct.pack(">BI", 80, 4)),
        (AwaitOriginal(4), struct.pack(">BI", 90, 4)),
        (SetHealth(False), struct.pack(">BBB", 100, 1, 0)),
        (PublishLoad(0.25), struct.pack(">Bf", 110, 0.25)),
        (SetIdleTimeout(2.0), struct.pack(">Bd", 120, 2.0)),
        (ScheduleTimer(0.5, 77), struct.pack(">BdI", 130, 0.5, 77)),
    ],
)
def test_actions_are_encoded(action: Action, packed: bytes) -> None:
    reply = codec.Reply()
    reply.add(action)
    assert reply.frame(1) == struct.pack(">III", 1, 1, 16) + packed.ljust(16, b"\0")


def test_texts_of_log_records_are_stored_in_the_tail() -> None:
    reply = codec.Reply()
    reply.add(Log("ab"))
    reply.add(Log("cde"))
    frame_bytes = reply.frame(1)
    assert frame_bytes[12:21] == struct.pack(">BII", 140, 0, 2)
    assert frame_bytes[28:37] == struct.pack(">BII", 140, 2, 3)
    assert frame_bytes[44:] == b"abcde"


def settings_without(path: str) -> bytes:
    """The settings text without the setting at a dotted path."""
    settings = json.loads(SETTINGS_TEXT)
    *outer, last = path.split(".")
    table = settings
    for key in outer:
        table = table[key]
    del table[last]
    return json.dumps(settings).encode()


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (frame([])[:10], "frame header truncated: 10 of 20 bytes"),
        (frame([select(1)])[:-5], "frame body of batch 7 truncated: 51 of 56 bytes"),
        (struct.pack(">IIdI", 1, 56, 1.0, 2) + select(1), "frame body has 56 bytes, too few for 2 records of 56 bytes"),
        (frame([arrival(1)]), "no SELECT record precedes it"),
        (frame([select(1), arrival(1)]), "instance 1 has no BORN record"),
        (
            frame([select(1), born(0, 50)], b"{}"),
            "BORN profile-data: bytes 112 to 162 exceed the frame body of 114 bytes",
        ),
        (frame([select(1), born(0, 2)], b"{]"), "the settings are not JSON: b'{]'"),
        (
            frame([select(1), born(0, len(settings_without("extra.cores")))], settings_without("extra.cores")),
            "extra.cores",
        ),
        (
            frame([select(1), born(0, len(SETTINGS_TEXT)), record(77)], SETTINGS_TEXT),
            "record 2 (code 77): unknown event code",
        ),
        (
            frame([select(1), born(0, len(SETTINGS_TEXT)), record(30, struct.pack(">IdH", 1, 0, 9))], SETTINGS_TEXT),
            "record 2: FINISHED result: 9 is not the code of an outcome",
        ),
        (
            frame([select(1), born(0, len(SETTINGS_TEXT)), record(80, struct.pack(">IB", 1, 40))], SETTINGS_TEXT),
            "record 2: TIMER pressure: 40 values do not fit in a record of 56 bytes",
        ),
    ],
)
def test_malformed_input_is_reported_in_one_line(data: bytes, message: str) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "lapishaven.simulator.adapter"], input=data, capture_output=True, timeout=30, check=False
    )
    assert process.returncode == 2 and process.stdout == b""
    lines = process.stderr.decode().splitlines()
    assert len(lines) == 1 and message in lines[0]


def test_an_exception_in_the_controller_is_reported_as_a_die_record(monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_handle(self: object, now: float, events: object) -> list[Action]:
        raise IndexError("out of range")

    monkeypatch.setattr(adapter.Controller, "handle", failing_handle)
    reply = run(frame([select(1), born(0, len(SETTINGS_TEXT))], SETTINGS_TEXT))[0]
    assert [r[0] for r in reply[1]] == [160, 150]
    assert reply[2] == b"IndexError: out of range"
