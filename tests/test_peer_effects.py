"""Claims among the processes of one server: seeded orders of events with crashes, and each rule alone."""

from __future__ import annotations

import shutil
from pathlib import Path
from random import Random

import pytest

from lapishaven.core.peer_effect_table import EXPIRY_MARGIN_S, PeerEffect, PeerRunState
from lapishaven.core.peer_effects import ClaimRefusal, PeerEffects
from lapishaven.core.requests import Submission
from lapishaven.counters import Counters
from lapishaven.effect_log import SharedEffectLog

CLASS = "approve-commit"
MEMORY_BYTES = 64 << 20
WINDOW_S = 10.0


class Clock:
    def __init__(self) -> None:
        self.unix_time = 1e9

    def __call__(self) -> float:
        return self.unix_time


class Process:
    """One process of the server: what it shares, and the effects that it has claimed itself."""

    def __init__(self, folder: Path, clock: Clock, result_limit_bytes: int = 1 << 20) -> None:
        self.clock = clock
        self.log = SharedEffectLog(folder, MEMORY_BYTES, lambda text: None, clock, claim_segment_bytes=900)
        self.counters = Counters()
        self.peers = PeerEffects(self.log, result_limit_bytes, 1000, self.counters)
        self.claims: dict[tuple[str, str], float] = {}
        self.peers.set_own_claims(lambda name: self.claims.get(name, 0.0) > clock.unix_time)

    def claim(self, attempt: str, key: str | None = "k", digest: bytes | None = None):
        self.peers.advance(self.clock.unix_time)
        submission = Submission(attempt, 1, b"", 1.0, idempotency_key=key, body_digest=digest)
        if key is not None:
            self.claims[CLASS, key] = self.clock.unix_time + WINDOW_S
        refusal = self.peers.claim(submission, CLASS, 75.0, WINDOW_S)
        if refusal is not None and key is not None:
            del self.claims[CLASS, key]
        return refusal

    def find(self, key: str = "k") -> PeerEffect | None:
        self.peers.advance(self.clock.unix_time)
        self.peers.refresh()
        return self.peers.find((CLASS, key))

    def poll(self) -> list[PeerEffect]:
        self.peers.advance(self.clock.unix_time)
        self.peers.poll(lambda request_id: True)
        return self.peers.take_settled()


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def pair(tmp_path: Path, clock: Clock) -> tuple[Process, Process]:
    return Process(tmp_path, clock), Process(tmp_path, clock)


# Guards against an effect that runs twice or is lost between processes, in drawn orders of claims, ends, withdrawals,
# kills and starts; every process is to know each claim, and none may run what another has claimed within its window.
@pytest.mark.parametrize("seed", range(20))
def test_no_effect_is_run_twice_within_its_window(tmp_path: Path, clock: Clock, seed: int) -> None:
    random = Random(seed)
    processes = [Process(tmp_path, clock) for _ in range(2)]
    ran: dict[str, float] = {}  # until when each key may not run again
    open_runs: list[tuple[Process, str, str]] = []
    for number in range(400):
        clock.unix_time += random.choice((0.0, 0.001, 0.3))
        event = random.random()
        process = random.choice(processes)
        if event < 0.6:
            key, attempt = str(random.randrange(25)), f"a{number}"
            if process.claims.get((CLASS, key), 0.0) > clock.unix_time:
                continue  # the process's own guard knows it
            refusal = process.claim(attempt, key)
            if refusal is None:
                assert ran.get(key, 0.0) <= clock.unix_time
                ran[key] = clock.unix_time + WINDOW_S
                open_runs.append((process, attempt, key))
            else:
                assert isinstance(refusal, PeerEffect)
                assert ran[key] + EXPIRY_MARGIN_S > clock.unix_time
        elif event < 0.95 and open_runs:
            process, attempt, key = open_runs.pop(random.randrange(len(open_runs)))
            if process not in processes:
                continue  # it was killed
            if random.random() < 0.3:
                process.peers.withdraw(attempt)
                del process.claims[CLASS, key]
                del ran[key]
            else:
                process.peers.run_ended(attempt, key.encode())
        else:
            if len(processes) > 2:
                processes.remove(process)
                process.log.close()  # releases its lock, as its death does
            processes.append(Process(tmp_path, clock))


def test_a_duplicate_gets_the_result_of_the_other_process(pair: tuple[Process, Process], clock: Clock) -> None:
    first, second = pair
    assert first.claim("a1", digest=b"d") is None
    effect = second.find()
    assert effect is not None and (effect.state, effect.body_digest) == (PeerRunState.RUNNING, b"d")
    second.peers.wait_for(effect, 7)
    assert second.poll() == []
    first.peers.run_ended("a1", b"result")
    clock.unix_time += 0.1
    assert second.poll() == [effect]
    assert (effect.state, effect.result, effect.waiting) == (PeerRunState.ENDED, b"result", [7])
    assert second.peers.next_poll_at() == float("inf")
    assert second.claim("a2") is effect  # also later, as long as the claim counts
    clock.unix_time += WINDOW_S + EXPIRY_MARGIN_S
    assert second.find() is None and second.claim("a3") is None


def test_an_attempt_without_a_key_is_claimed_by_its_id(pair: tuple[Process, Process]) -> None:
    first, second = pair
    assert first.claim("a1", key=None) is None
    assert second.claim("a1", key=None) is ClaimRefusal.KNOWN_ATTEMPT
    assert second.claim("a2", key=None) is None


def test_a_withdrawn_claim_frees_the_effect(pair: tuple[Process, Process]) -> None:
    first, second = pair
    assert first.claim("a1") is None
    effect = second.find()
    assert effect is not None
    second.peers.wait_for(effect, 7)
    first.peers.withdraw("a1")
    assert second.poll() == [effect] and effect.state is PeerRunState.WITHDRAWN
    assert second.claim("a1") is None


# Guards against a second run after the window: a process that uses a key anew, once its own claim has expired, must not
# be taken for one whose claim came second, in the second in which the others still count its first claim.
def test_a_key_that_its_own_process_uses_anew_is_claimed_anew(pair: tuple[Process, Process], clock: Clock) -> None:
    first, second = pair
    assert first.claim("a1") is None
    first.peers.run_ended("a1", b"first")
    assert second.find() is not None
    clock.unix_time += WINDOW_S + EXPIRY_MARGIN_S / 2
    assert first.claim("a2") is None
    for _ in range(2):
        effect = second.claim("b1")
        assert isinstance(effect, PeerEffect) and (effect.attempt_id, effect.result) == ("a2", None)
        clock.unix_time += EXPIRY_MARGIN_S


# Guards against a duplicate that waits until its due time for a process that has died.
def test_the_run_of_a_dead_process_has_no_result_at_once(pair: tuple[Process, Process], clock: Clock) -> None:
    first, second = pair
    assert first.claim("a1") is None
    effect = second.find()
    assert effect is not None
    second.peers.wait_for(effect, 7)
    assert second.poll() == []
    first.log.close()
    clock.unix_time += 0.1
    assert second.poll() == [effect]
    assert (effect.state, effect.result) == (PeerRunState.ENDED, None)
    assert isinstance(second.claim("a2"), PeerEffect)


def test_a_process_learns_that_a_duplicate_waits_elsewhere(pair: tuple[Process, Process]) -> None:
    first, second = pair
    assert first.claim("a1") is None
    assert not first.peers.is_awaited("a1")
    effect = second.find()
    assert effect is not None
    second.peers.wait_for(effect, 7)
    assert first.peers.is_awaited("a1")


def test_a_wait_that_nobody_is_interested_in_is_not_polled(pair: tuple[Process, Process], clock: Clock) -> None:
    first, second = pair
    assert first.claim("a1") is None
    effect = second.find()
    assert effect is not None
    second.peers.wait_for(effect, 7)
    second.peers.poll(lambda request_id: False)
    assert second.peers.next_poll_at() == float("inf")


# Guards the memory of a process whose predecessor has left many results.
def test_results_of_others_are_bounded(tmp_path: Path, clock: Clock) -> None:
    first, second = Process(tmp_path, clock), Process(tmp_path, clock, result_limit_bytes=3000)
    for number in range(10):
        assert first.claim(f"a{number}", str(number)) is None
        first.peers.run_ended(f"a{number}", b"x" * 1000)
    effects = [second.find(str(number)) for number in range(10)]
    assert [effect is not None and effect.result is not None for effect in effects] == [False] * 7 + [True] * 3


# Guards against a run that no other process knows of: where its claim cannot be written, it is refused, until it can.
def test_a_run_that_cannot_be_recorded_is_refused(
    tmp_path: Path, clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "log"
    folder.write_text("this is no folder")
    lines: list[str] = []
    monkeypatch.setattr("lapishaven.effect_log.shared_effect_log.REOPEN_INTERVAL_S", 0.0)
    process = Process(folder, clock)
    process.log._log = lines.append
    assert process.claim("a1") is ClaimRefusal.NOT_RECORDED
    assert process.find() is None and process.counters.get("shared effects", "not recorded") == 1
    folder.unlink()
    assert process.claim("a1") is None


def test_a_folder_that_was_removed_is_made_anew(tmp_path: Path, clock: Clock) -> None:
    first, second = Process(tmp_path / "log", clock), Process(tmp_path / "log", clock)
    assert first.claim("a0", "0") is None
    shutil.rmtree(tmp_path / "log")
    for number in range(1, 20):  # over the end of a segment
        assert first.claim(f"a{number}", str(number)) is None
        assert isinstance(second.claim(f"b{number}", str(number)), PeerEffect)


def test_many_claims_stay_within_their_files(tmp_path: Path, clock: Clock) -> None:
    process = Process(tmp_path, clock)
    for number in range(2000):
        clock.unix_time += 0.1
        assert process.claim(f"a{number}", str(number)) is None
        process.peers.run_ended(f"a{number}", b"x" * 100)
    # 750 attempts and 100 keyed effects are unexpired; a claim takes less than 200 bytes.
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 800 * 250 + 400_000
