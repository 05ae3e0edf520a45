"""Tests of the embedded store: truncated and corrupted files, power loss, disk faults, compaction and concurrency."""

from __future__ import annotations

import errno
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lapishaven.lab.disk import Disk
from lapishaven.storage import Limits, Store, StoreError, StoreFullError, StoreLockedError, StoreWriteError
from lapishaven.storage import format as fmt
from lapishaven.storage.index import MIN_MERGE_ENTRIES, Index
from lapishaven.storage.wheel import TimingWheel

ROOT = Path(__file__).parent.parent
SMALL_LIMITS = Limits(segment_bytes=400, reserve_bytes=64)
Model = dict[bytes, bytes]  # the expected content of a store


def open_store(disk: Disk, limits: Limits = SMALL_LIMITS, clock: Callable[[], float] = lambda: 1000.0) -> Store:
    disk.locked = False  # tests also reopen a disk whose last store was not closed, as after a crash
    return Store(disk.mount(), limits, clock, thread=False)


def contents(store: Store) -> Model:
    return {key: value for key, value, _ in store.scan()}


def populated_disk(seed: int = 1, steps: int = 40, compact: bool = True) -> tuple[Disk, list[Model]]:
    """A disk after a sequence of random writes, and the content of the store after each acknowledged write."""
    disk, random = Disk(), Random(seed)
    store = open_store(disk)
    model: Model = {}
    states = [dict(model)]
    for n in range(steps):
        key = b"k%d" % random.randrange(8)
        if random.random() < 0.3 and model:
            key = random.choice(sorted(model))
            store.delete(key)
            model.pop(key, None)
        elif random.random() < 0.3:
            other = b"k%d" % ((int(key[1:]) + 1) % 8)
            store.batch([(key, b"b%d" % n, 0.0), (other, None, 0.0)])
            model[key] = b"b%d" % n
            model.pop(other, None)
        else:
            store.put(key, b"v%d" % n, 500.0 if random.random() < 0.1 else 0.0)
            model[key] = b"v%d" % n
            if store.get(key) is None:
                del model[key]  # its expiry is in the past
        store.sync()
        states.append(dict(model))
        if compact and n % 10 == 9:
            store.compact()
    store.close()
    return disk, states


# Guards against a store that cannot be opened after a truncation, loses writes acknowledged before the cut, or returns
# deleted keys. Every file is truncated at every byte.
@pytest.mark.parametrize("compact", [False, True])
def test_every_file_truncated_at_every_byte(compact: bool) -> None:
    disk, states = populated_disk(compact=compact)
    cut_count = 0
    for name in [name for name in disk.files if name != "ballast"]:  # the disk reserve, which has no content to lose
        is_last_segment = name == max(other for other in disk.files if other.endswith(".seg"))
        for size in range(len(disk.files[name].data)):
            copy = disk.copy()
            del copy.files[name].data[size:]
            store = open_store(copy)
            now = contents(store)
            if is_last_segment and not compact:
                assert now in states, (name, size)  # an acknowledged state; batches are atomic
            else:  # compaction moves older records to the end, so a cut there need not give an earlier state
                assert all(was_stored(states, key, value) for key, value in now.items())
            if name.endswith(".hint"):
                assert now == states[-1]  # an invalid hint file is ignored
            store.put(b"after", b"1")
            store.sync()
            store.close()
            assert contents(open_store(copy))[b"after"] == b"1"
            cut_count += 1
    assert cut_count > 300


def was_stored(states: list[Model], key: bytes, value: bytes) -> bool:
    return any(state.get(key) == value for state in states)


# Guards against damaged records that are returned as data, and against damage that hides intact records after it.
def test_every_byte_corrupted() -> None:
    disk, states = populated_disk(seed=2, compact=False)
    final = states[-1]
    for name in [name for name in disk.files if name != "ballast"]:
        for offset in range(len(disk.files[name].data)):
            copy = disk.copy()
            copy.files[name].data[offset] ^= 0x41
            try:
                store = open_store(copy)
            except StoreError as error:
                assert "program reads up to 1" in str(error)  # the flip raised the format version
                continue
            now = contents(store)
            for key, value in now.items():
                assert was_stored(states, key, value), (name, offset, key)
            if name.endswith(".hint"):
                assert now == final
            elif now != final:
                assert store.damage or store.stats.truncated_bytes, (name, offset)
            intact = [key for key in final if now.get(key) == final[key]]
            # At most the records of one frame are lost, and the older records that they replaced.
            assert len(intact) >= len(final) - 4


# Guards against the loss of acknowledged records, whichever unsynced bytes survive the power loss.
@pytest.mark.parametrize("seed", range(150))
def test_power_loss_at_any_time(seed: int) -> None:
    random, disk = Random(seed), Disk()
    store = open_store(disk)
    model, possible_values = dict[bytes, bytes](), dict[bytes, set[bytes | None]]()
    write_count = random.randrange(2, 40)
    for n in range(write_count):
        key = b"k%d" % random.randrange(6)
        if random.random() < 0.3:
            store.delete(key)
            model.pop(key, None)
        else:
            store.put(key, b"v%d" % n)
            model[key] = b"v%d" % n
        store.sync()
        if random.random() < 0.2:
            store.compact_slice(max_bytes=60, everything=True)
            store.commit()
    # One write is in progress at the power loss: written, but not synced.
    unsynced_key = b"k%d" % random.randrange(6)
    disk.fault = lambda call, name: OSError(errno.EIO, "gone") if call in ("sync", "truncate") else None
    store.put(unsynced_key, b"late")
    store.commit()
    possible_values[unsynced_key] = {b"late", model.get(unsynced_key)}
    surviving_disk = disk.lose_power(random)
    for _ in range(2):  # what recovery itself wrote must be opened too
        store = open_store(surviving_disk)
        now = contents(store)
        for key in {*model, *now}:
            assert now.get(key) in possible_values.get(key, {model.get(key)}), (key, now.get(key), model.get(key))
        store.close()
        surviving_disk = surviving_disk.copy()


# Guards against a compaction that loses records when it is interrupted, at any of its calls to the disk.
def test_compaction_interrupted_at_every_disk_call() -> None:
    original, states = populated_disk(seed=3, compact=False)
    uninterrupted = original.copy()
    store = open_store(uninterrupted)
    calls_before = len(uninterrupted.calls)
    store.compact(everything=True)
    call_count = len(uninterrupted.calls) - calls_before
    assert contents(store) == states[-1] and call_count > 20
    assert store.disk_bytes < sum(len(file.data) for name, file in original.files.items() if name.endswith(".seg"))
    for allowed_calls in range(call_count):
        disk = original.copy()
        store = open_store(disk)
        remaining_calls = [allowed_calls]

        def fault(call: str, name: str, remaining_calls: list[int] = remaining_calls) -> OSError | None:
            remaining_calls[0] -= 1
            return OSError(errno.EIO, "the machine stopped") if remaining_calls[0] < 0 else None

        disk.fault = fault
        with suppress(OSError):
            store.compact(everything=True)
        disk.fault = lambda call, name: None
        for survivor in (disk.copy(), disk.lose_power(Random(allowed_calls))):
            assert contents(open_store(survivor)) == states[-1], allowed_calls


# Guards against a deleted key that reappears after compaction has dropped its tombstone.
@pytest.mark.parametrize("seed", range(12))
def test_deleted_keys_do_not_reappear(seed: int) -> None:
    random, disk = Random(seed), Disk()
    store, deleted = open_store(disk), set[bytes]()
    for n in range(120):
        key = b"%d" % n
        store.put(key, bytes(random.randrange(60)))
        if random.random() < 0.7:
            store.sync()
            store.delete(key)
            deleted.add(key)
        store.sync()
        if random.random() < 0.1:
            store.compact(everything=True)
        if random.random() < 0.1:
            store.close()
            store = open_store(disk)
    store.close()
    store = open_store(disk)
    store.compact(everything=True)
    store.close()
    store = open_store(disk)
    assert len(contents(store)) == 120 - len(deleted)
    assert all(store.get(key) is None for key in deleted)


def test_expired_keys_do_not_reappear_when_the_clock_goes_back_across_a_restart() -> None:
    disk, now = Disk(), [1000.0]
    store = open_store(disk, clock=lambda: now[0])
    store.put(b"a", b"old")
    store.sync()
    store.put(b"a", b"short", 1010.0)
    store.put(b"b", b"long", 5000.0)
    store.sync()
    assert store.get(b"a") == b"short"
    now[0] = 1011.0
    assert store.get(b"a") is None
    store.put(b"c", b"1")  # stores the current time too
    store.sync()
    store.compact(everything=True)
    store.close()
    now[0] = 900.0
    store = open_store(disk, clock=lambda: now[0])
    assert store.get(b"a") is None and store.get(b"b") == b"long"  # nor does the older put reappear
    store.compact(everything=True)
    store.close()
    assert open_store(disk, clock=lambda: now[0]).get(b"a") is None


# Guards against a full disk that blocks reads or deletes or never recovers, and against a partly applied batch.
def test_a_full_disk() -> None:
    disk = Disk(capacity=2000)
    store = open_store(disk, Limits(segment_bytes=600, reserve_bytes=300))
    stored = []
    with pytest.raises(StoreFullError):
        for n in range(100):
            store.put(b"%d" % n, bytes(50))
            store.sync()
            stored.append(b"%d" % n)
    assert len(stored) >= 8 and all(store.get(key) == bytes(50) for key in stored)
    with pytest.raises(StoreFullError):
        store.batch([(b"x", bytes(500), 0.0), (b"y", b"1", 0.0)])
        store.sync()
    assert store.get(b"x") is None and store.get(b"y") is None
    for key in stored[:-3]:
        store.delete(key)
    store.sync()
    store.compact(everything=True)
    store.put(b"again", b"there is room")
    store.sync()
    assert contents(store) == {**{key: bytes(50) for key in stored[-3:]}, b"again": b"there is room"}
    store.close()
    assert contents(open_store(disk))[b"again"] == b"there is room"


def test_at_the_size_limit_puts_are_rejected_until_the_next_expiry_and_deletes_are_accepted() -> None:
    store = open_store(Disk(), Limits(segment_bytes=400, total_bytes=800))
    with pytest.raises(StoreFullError) as full:
        for n in range(100):
            store.put(b"%d" % n, bytes(40), 1060.0)
            store.sync()
    assert full.value.retry_after_s is not None and 58 <= full.value.retry_after_s <= 62
    store.delete(b"1")  # deletes are still accepted
    store.sync()


# Guards against writing on in a segment whose fsync failed: the kernel may have dropped its dirty pages.
def test_a_segment_is_not_written_after_its_fsync_failed() -> None:
    disk = Disk()
    store = open_store(disk, Limits())
    store.put(b"a", b"1")
    store.sync()
    disk.fault = lambda call, name: OSError(errno.EIO, "I/O error") if call == "sync" else None
    future = store.put(b"a", b"2")
    store.commit()
    with pytest.raises(StoreWriteError):
        future.result()
    assert store.get(b"a") == b"1"
    disk.fault = lambda call, name: None
    store.put(b"b", b"3")
    store.sync()
    assert len(store.segments) == 2 and store.segments[1].suspect
    store.close()
    assert contents(open_store(disk)) == {b"a": b"1", b"b": b"3"}


def test_short_writes_are_completed() -> None:
    disk = Disk()
    disk.fault = lambda call, name: 7 if call == "append" else None
    store = open_store(disk)
    store.put(b"a", b"x" * 100)
    store.sync()
    store.close()
    assert open_store(disk).get(b"a") == b"x" * 100


def test_a_newer_format_is_rejected_and_left_unchanged() -> None:
    disk, _ = populated_disk()
    name = next(name for name in disk.files if name.endswith(".seg"))
    # Format 2 of segment 1, with a valid checksum.
    header = bytearray(fmt.SEGMENT_HEADER.pack(fmt.MAGIC, 2, 1, 0, 0)[: -fmt.CHECKSUM.size])
    disk.files[name].data[: fmt.SEGMENT_HEADER.size] = header + fmt.CHECKSUM.pack(fmt.checksum(bytes(header)))
    before = bytes(disk.files[name].data)
    with pytest.raises(StoreError, match="segment 1 has format 2, this program reads up to 1"):
        open_store(disk)
    assert bytes(disk.files[name].data) == before and not disk.locked


def test_a_second_process_is_locked_out_until_the_first_one_dies(tmp_path: Path) -> None:
    code = (
        "import sys, time; from lapishaven.storage import Store\n"
        f"s = Store.open({str(tmp_path)!r}); s.put(b'a', b'1').result(); print('up', flush=True); time.sleep(60)"
    )
    child = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, text=True, cwd=ROOT)
    assert child.stdout is not None and child.stdout.readline() == "up\n"
    with pytest.raises(StoreLockedError):
        Store.open(str(tmp_path))
    child.send_signal(signal.SIGKILL)
    child.wait()
    child.stdout.close()
    with Store.open(str(tmp_path)) as store:  # the kill released the lock
        assert store.get(b"a") == b"1"


# Guards against writers that get each other's results, and reads from a segment that compaction is removing.
def test_threads_write_and_read_during_compaction(tmp_path: Path) -> None:
    mismatches: list[str] = []
    with Store.open(str(tmp_path), Limits(segment_bytes=20_000, garbage_ratio=0.2)) as store:

        def write_and_read(thread_number: int) -> None:
            for n in range(300):
                key = b"%d:%d" % (thread_number, n % 20)
                store.put(key, b"%d" % n).result()
                if store.get(key) != b"%d" % n:
                    mismatches.append(f"thread {thread_number}, write {n}")

        threads = [threading.Thread(target=write_and_read, args=(number,)) for number in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert not mismatches and len(store) == 120
        assert store.stats.commits < 1800  # several writes shared a commit
        store.snapshot(str(tmp_path / "snap"))
        compacted = store.stats.compacted
    assert compacted > 0
    with Store.open(str(tmp_path / "snap")) as copy:
        assert len(contents(copy)) == 120


# Guards against a crash of the store's thread when a caller compacts at the same time; no put would ever complete then.
def test_a_caller_may_compact_while_the_store_thread_runs(tmp_path: Path) -> None:
    with Store.open(str(tmp_path), Limits(segment_bytes=5000, garbage_ratio=0.3)) as store:
        for _ in range(4):
            for n in range(150):
                store.put(b"%d" % n, bytes(80))
                if n % 50 == 49:
                    store.sync()
            store.compact(everything=True)
        assert store.put(b"last", b"1").result(timeout=10) > 0
        assert len(contents(store)) == 151


def test_a_scan_returns_a_snapshot() -> None:
    store = open_store(Disk())
    for n in range(20):
        store.put(b"%02d" % n, b"old")
    store.sync()
    rows: Iterator[tuple[bytes, bytes, float]] = store.scan()
    first = next(rows)
    for n in range(20):
        store.delete(b"%02d" % n)
    store.put(b"new", b"new")
    store.sync()
    assert not store.compact_slice(everything=True)  # the scan pins its segments
    assert len([first, *rows]) == 20 and contents(store) == {b"new": b"new"}


def test_invalid_input_and_writes_after_close_are_rejected() -> None:
    store = open_store(Disk())
    for key, value in ((b"", b"x"), (b"k" * 2000, b"x"), (b"k", bytes(2 << 20))):
        with pytest.raises(ValueError):
            store.put(key, value)
    with pytest.raises(ValueError):
        store.batch([])
    store.close()
    with pytest.raises(StoreError):
        store.put(b"a", b"b")


# ---- Components compared with simple reference implementations
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3), st.booleans()), max_size=80), st.booleans())
@hypothesis_settings(max_examples=60, deadline=None)
def test_the_index_behaves_like_a_dict(rows: list[tuple[int, int, bool]], merge: bool) -> None:
    index, reference = Index(), dict[int, tuple[int, int]]()
    for sequence, (key, location, merge_now) in enumerate(rows, 1):
        key_digest = key << 60 | key  # 0 to 15 share a high half of the digest, 16 to 30 another
        index.put(key_digest, location, sequence, 0.0)
        reference[key_digest] = location, sequence
        if merge and merge_now:
            index.merge()
    for key_digest, (location, sequence) in reference.items():
        assert index.get(key_digest) == (location, sequence, 0.0)
    assert len(index) == sum(location != 0 for location, _ in reference.values())
    assert index.get(1 << 100) is None and MIN_MERGE_ENTRIES > 80  # too few rows for a merge that is not asked for


@given(st.lists(st.floats(0, 100_000), max_size=50), st.lists(st.floats(0, 20_000), max_size=12))
@hypothesis_settings(max_examples=40, deadline=None)
def test_the_timing_wheel_returns_each_key_in_the_second_after_its_expiry(
    times: list[float], steps: list[float]
) -> None:
    wheel, now = TimingWheel(0.0), 0.0
    waiting = dict(enumerate(times))
    for n, expiry in waiting.items():
        wheel.add(expiry, n)
    for step in steps:
        now += step
        expired = wheel.expire(now)
        for n in expired:
            assert waiting.pop(n) <= now
        assert all(expiry + 1 > int(now) for expiry in waiting.values())
    assert wheel.count == len(waiting)


def test_no_file_descriptor_is_left_open(tmp_path: Path) -> None:
    before = len(os.listdir("/proc/self/fd"))
    for _ in range(3):
        with Store.open(str(tmp_path), Limits(segment_bytes=500)) as store:
            for n in range(30):
                store.put(b"%d" % n, bytes(50))
    assert len(os.listdir("/proc/self/fd")) == before
