"""The log that several processes append to: one order, whatever is cut short, sealed or deleted in between."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest

from lapishaven.core.effect_records import EffectClaim, EffectEnded, EffectRecord
from lapishaven.effect_log import record_codec
from lapishaven.effect_log.process_lock import ProcessLock
from lapishaven.effect_log.segmented_log import SegmentedLog

LARGE = 1 << 20


def open_log(folder: Path, owner: str, segment_bytes: int = LARGE, total_bytes: int = LARGE, evicts: bool = True):
    return SegmentedLog(folder, "claims", owner, segment_bytes, total_bytes, evicts=evicts)


def claim(owner: str, key: str, expires_at: float = 100.0) -> EffectClaim:
    return EffectClaim(owner, f"attempt-{owner}-{key}", "approve-commit", key, b"\0" * 16, 1.5, expires_at, expires_at)


def append(log: SegmentedLog, record: EffectRecord) -> bool:
    return log.append(lambda sequence: record_codec.encode(record, sequence))


def keys(log: SegmentedLog) -> list[str]:
    while log.read():
        pass
    return [record.key for line in log.take() if isinstance(record := record_codec.decode(line), EffectClaim)]


@pytest.mark.parametrize("text", ["", "two\nlines\r\n", " ", "\u2028é", "x" * 4000])
def test_a_record_is_read_as_it_was_written(text: str) -> None:
    for record in (claim("1-a", text), EffectEnded("1-a", "attempt", "class of " + text, text, text.encode(), 7.25)):
        line = record_codec.encode(record, 1)
        assert b"\n" not in line
        assert record_codec.decode(record_codec.parse(line)) == record


# Guards against two processes that both take themselves for the first to claim an effect: each sees the records of the
# others that precede its own, in one order, also where a segment is sealed between them.
@pytest.mark.parametrize("seed", range(5))
def test_all_processes_see_one_order(tmp_path: Path, seed: int) -> None:
    random = Random(seed)
    logs = [open_log(tmp_path, str(n), segment_bytes=700) for n in range(3)]
    seen: list[list[str]] = [[] for _ in logs]
    for number in range(300):
        n = random.randrange(3)
        if random.random() < 0.3:
            seen[n] += keys(logs[n])
            continue
        assert append(logs[n], claim(str(n), str(number)))
        seen[n] += [record_codec.decode(line).key for line in logs[n].take()]  # type: ignore[union-attr]
        seen[n].append(str(number))
    for n, log in enumerate(logs):
        seen[n] += keys(log)
    assert seen[0] == seen[1] == seen[2] == keys(open_log(tmp_path, "later"))


RACE = """
import sys
from pathlib import Path
from lapishaven.core.effect_records import EffectClaim
from lapishaven.effect_log import record_codec
from lapishaven.effect_log.segmented_log import SegmentedLog

owner = sys.argv[2]
log = SegmentedLog(Path(sys.argv[1]), "claims", owner, 5000, 1 << 24, evicts=False)
print("ready", flush=True)
sys.stdin.readline()
claimed, won = set(), []
for number in range(2000):
    key = str(number)
    record = EffectClaim(owner, key + owner, "c", key, None, 0.0, 9e9, 9e9)
    assert log.append(lambda sequence: record_codec.encode(record, sequence))
    claimed.update(record_codec.decode(line).key for line in log.take())
    if key not in claimed:
        won.append(key)
print(" ".join(won))
"""


# Guards against an effect that two processes run, or none, when they claim it at the same moment.
def test_of_processes_that_claim_at_once_exactly_one_is_the_first(tmp_path: Path) -> None:
    command = [sys.executable, "-c", RACE, str(tmp_path)]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
    racers = [subprocess.Popen([*command, str(n)], **pipes) for n in range(3)]  # type: ignore[call-overload]
    for racer in racers:
        assert racer.stdout.readline() == "ready\n"
    for racer in racers:
        racer.stdin.write("go\n")
        racer.stdin.flush()
    won = [racer.communicate(timeout=60)[0].split() for racer in racers]
    assert sorted(key for keys_won in won for key in keys_won) == sorted(str(number) for number in range(2000))


# Guards against a log that a kill in the middle of a write, or another program's file, makes unreadable.
@pytest.mark.parametrize("rest", [b"\n0badc0de 1-a 7 cla", b"\n" + b"x" * 200_000, b"\x00\xff\n\n \n1 2 3 4 5 6\n"])
def test_what_was_cut_short_is_passed_over(tmp_path: Path, rest: bytes) -> None:
    log, other = open_log(tmp_path, "a"), open_log(tmp_path, "b")
    assert append(log, claim("a", "1"))
    whole = record_codec.encode(claim("a", "cut"), 9)
    with (tmp_path / "claims-00000001.log").open("ab") as file:
        file.write(rest + b"\n" + whole[: len(whole) // 2])
    assert keys(other) == ["1"]
    assert append(other, claim("b", "2")) and append(log, claim("a", "3"))
    assert keys(other) == ["3"]
    assert keys(open_log(tmp_path, "c")) == ["1", "2", "3"]


# Guards against two logs instead of one: a process that was stopped while segments were sealed and deleted must go on
# in the segment of the others, and not begin one of its own under the number of a deleted one.
def test_a_process_that_fell_behind_joins_the_others(tmp_path: Path) -> None:
    log, slow = open_log(tmp_path, "a", segment_bytes=700), open_log(tmp_path, "b", segment_bytes=700)
    for number in range(50):
        assert append(log, claim("a", str(number), expires_at=float(number)))
        log.delete_expired(float(number))
    assert len(list(tmp_path.iterdir())) < 4
    assert append(slow, claim("b", "last"))
    assert keys(log) == ["last"] and keys(open_log(tmp_path, "c"))[-1] == "last"


def test_results_are_evicted_and_claims_are_refused_at_the_total_size(tmp_path: Path) -> None:
    for evicts in (True, False):
        folder = tmp_path / str(evicts)
        folder.mkdir()
        log = open_log(folder, "a", segment_bytes=1000, total_bytes=5000, evicts=evicts)
        recorded = []
        for number in range(100):
            log.delete_expired(0.0)
            recorded.append(append(log, claim("a", str(number))))
        assert sum(path.stat().st_size for path in folder.iterdir()) < 7000
        assert all(recorded) is evicts and recorded[0]
        log.delete_expired(100.0)
        assert append(log, claim("a", "later"))


# Guards against a duplicate that waits for a process that is gone, or is failed while that is only stopped.
def test_a_stopped_process_is_alive_and_a_killed_one_is_not(tmp_path: Path) -> None:
    script = "import sys; from pathlib import Path; from lapishaven.effect_log.process_lock import ProcessLock\n"
    script += "lock = ProcessLock(Path(sys.argv[1]), 'other'); print('ready', flush=True); sys.stdin.read()"
    other = subprocess.Popen(
        [sys.executable, "-c", script, str(tmp_path)], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert other.stdout is not None and other.stdout.readline() == b"ready\n"
    lock = ProcessLock(tmp_path, "own")
    assert lock.is_alive("other") and lock.is_alive("own") and not lock.is_alive("nobody")
    os.kill(other.pid, signal.SIGSTOP)
    assert lock.is_alive("other")
    other.kill()
    other.wait()
    assert not lock.is_alive("other")
    third = ProcessLock(tmp_path, "third")
    assert {path.name for path in tmp_path.iterdir()} == {"process-own", "process-third"}
    third.close()
    lock.close()
    assert not list(tmp_path.iterdir())
