"""The embedded store: cut, flipped and lost bytes at every place, faults of the disk at every call, and its use."""

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
from hypothesis import settings as profile
from hypothesis import strategies as st

from lapishaven.lab.disk import Disk
from lapishaven.storage import Limits, Store, StoreError, StoreFullError, StoreLockedError, StoreWriteError
from lapishaven.storage import format as fmt
from lapishaven.storage.index import MIN_MERGE_ENTRIES, Index
from lapishaven.storage.wheel import TimingWheel

ROOT = Path(__file__).parent.parent
SMALL = Limits(segment_bytes=400, reserve_bytes=64)
Model = dict[bytes, bytes]


def open_on(disk: Disk, limits: Limits = SMALL, clock: Callable[[], float] = lambda: 1000.0) -> Store:
    disk.locked = False
    return Store(disk.mount(), limits, clock, thread=False)


def contents(store: Store) -> Model:
    return {key: value for key, value, _ in store.scan()}


def lived(seed: int = 1, steps: int = 40, compact: bool = True) -> tuple[Disk, list[Model]]:
    """A disk on which a store has lived, and every state that was acknowledged, the last one at the end."""
    disk, rnd = Disk(), Random(seed)
    store = open_on(disk)
    model: Model = {}
    states = [dict(model)]
    for n in range(steps):
        key = b"k%d" % rnd.randrange(8)
        if rnd.random() < 0.3 and model:
            key = rnd.choice(sorted(model))
            store.delete(key)
            model.pop(key, None)
        elif rnd.random() < 0.3:
            other = b"k%d" % ((int(key[1:]) + 1) % 8)
            store.batch([(key, b"b%d" % n, 0.0), (other, None, 0.0)])
            model[key] = b"b%d" % n
            model.pop(other, None)
        else:
            store.put(key, b"v%d" % n, 500.0 if rnd.random() < 0.1 else 0.0)
            model[key] = b"v%d" % n
            if store.get(key) is None:
                del model[key]  # it had expired already
        store.sync()
        states.append(dict(model))
        if compact and n % 10 == 9:
            store.compact()
    store.close()
    return disk, states


# Guards against a store that cannot be opened, that loses what was acknowledged before the cut, or that gives
# back what was deleted: every file is cut at every byte.
@pytest.mark.parametrize("compact", [False, True])
def test_cut_at_every_byte(compact: bool) -> None:
    disk, states = lived(compact=compact)
    tried = 0
    for name in [name for name in disk.files if name != "ballast"]:
        last = name == max(n for n in disk.files if n.endswith(".seg"))
        for size in range(len(disk.files[name].data)):
            found = disk.copy()
            del found.files[name].data[size:]
            store = open_on(found)
            now = contents(store)
            if last and not compact:  # compaction moves older records to the end, so a cut there is no moment
                assert now in states, (name, size)  # a state that once was, whole batches only
            else:
                assert all(states_with(states, key, value) for key, value in now.items())
            if name.endswith(".hint"):
                assert now == states[-1]
            store.put(b"after", b"1")
            store.sync()
            store.close()
            assert contents(open_on(found))[b"after"] == b"1"
            tried += 1
    assert tried > 300


def states_with(states: list[Model], key: bytes, value: bytes) -> bool:
    return any(state.get(key) == value for state in states)


# Guards against damage that is served as data, or that takes along what is whole behind it.
def test_a_byte_flipped_at_every_place() -> None:
    disk, states = lived(seed=2, compact=False)
    final = states[-1]
    for name in [name for name in disk.files if name != "ballast"]:
        for at in range(len(disk.files[name].data)):
            found = disk.copy()
            found.files[name].data[at] ^= 0x41
            try:
                store = open_on(found)
            except StoreError as error:
                assert "format" in str(error)  # the flip made the version a newer one
                continue
            now = contents(store)
            for key, value in now.items():
                assert states_with(states, key, value), (name, at, key)
            if name.endswith(".hint"):
                assert now == final
            elif now != final:
                assert store.damage or store.stats.truncated_bytes, (name, at)
            intact = [key for key in final if now.get(key) == final[key]]
            assert len(intact) >= len(final) - 4  # one frame's records at the most, and what they had replaced


# Guards against records that were acknowledged and are not on the disk, whatever the disk kept of the rest.
@pytest.mark.parametrize("seed", range(150))
def test_power_loss_at_any_time(seed: int) -> None:
    rnd, disk = Random(seed), Disk()
    store = open_on(disk)
    model, maybe = dict[bytes, bytes](), dict[bytes, set[bytes | None]]()
    stop = rnd.randrange(2, 40)
    for n in range(stop):
        key = b"k%d" % rnd.randrange(6)
        if rnd.random() < 0.3:
            store.delete(key)
            model.pop(key, None)
        else:
            store.put(key, b"v%d" % n)
            model[key] = b"v%d" % n
        store.sync()
        if rnd.random() < 0.2:
            store.compact_slice(max_bytes=60, everything=True)
            store.commit()
    # And something that is on its way while the power goes: written, and not synced.
    lost = b"k%d" % rnd.randrange(6)
    disk.fault = lambda call, name: OSError(errno.EIO, "gone") if call in ("sync", "truncate") else None
    store.put(lost, b"late")
    store.commit()
    maybe[lost] = {b"late", model.get(lost)}
    after = disk.lose_power(rnd)
    for _ in range(2):
        again = open_on(after)
        now = contents(again)
        for key in {*model, *now}:
            assert now.get(key) in maybe.get(key, {model.get(key)}), (key, now.get(key), model.get(key))
        again.close()
        after = after.copy()


# Guards against a compaction that is cut off at any of its steps: at every call to the disk from its start on.
def test_compaction_cut_at_every_step() -> None:
    base, states = lived(seed=3, compact=False)
    counting = base.copy()
    store = open_on(counting)
    start = len(counting.calls)
    store.compact(everything=True)
    steps = len(counting.calls) - start
    assert contents(store) == states[-1] and steps > 20
    assert store.disk_bytes < sum(len(f.data) for n, f in base.files.items() if n.endswith(".seg"))
    for cut in range(steps):
        disk = base.copy()
        store = open_on(disk)
        left = [cut]

        def fault(call: str, name: str, left: list[int] = left) -> OSError | None:
            left[0] -= 1
            return OSError(errno.EIO, "the machine stopped") if left[0] < 0 else None

        disk.fault = fault
        with suppress(OSError):
            store.compact(everything=True)
        disk.fault = lambda call, name: None
        for kept in (disk.copy(), disk.lose_power(Random(cut))):
            assert contents(open_on(kept)) == states[-1], cut


# Guards against a deleted or expired key that comes back once its tombstone was let go.
@pytest.mark.parametrize("seed", range(12))
def test_nothing_deleted_comes_back(seed: int) -> None:
    rnd, disk = Random(seed), Disk()
    store, gone = open_on(disk), set[bytes]()
    for n in range(120):
        key = b"%d" % n
        store.put(key, bytes(rnd.randrange(60)))
        if rnd.random() < 0.7:
            store.sync()
            store.delete(key)
            gone.add(key)
        store.sync()
        if rnd.random() < 0.1:
            store.compact(everything=True)
        if rnd.random() < 0.1:
            store.close()
            store = open_on(disk)
    store.close()
    store = open_on(disk)
    store.compact(everything=True)
    store.close()
    store = open_on(disk)
    assert len(contents(store)) == 120 - len(gone)
    assert all(store.get(key) is None for key in gone)


def test_expiry_holds_when_the_clock_steps_back_over_a_restart() -> None:
    disk, now = Disk(), [1000.0]
    store = open_on(disk, clock=lambda: now[0])
    store.put(b"a", b"old")
    store.sync()
    store.put(b"a", b"short", 1010.0)
    store.put(b"b", b"long", 5000.0)
    store.sync()
    assert store.get(b"a") == b"short"
    now[0] = 1011.0
    assert store.get(b"a") is None
    store.put(b"c", b"1")  # the time goes to the disk with it
    store.sync()
    store.compact(everything=True)
    store.close()
    now[0] = 900.0
    store = open_on(disk, clock=lambda: now[0])
    assert store.get(b"a") is None and store.get(b"b") == b"long"  # nor does the older put come back
    store.compact(everything=True)
    store.close()
    assert open_on(disk, clock=lambda: now[0]).get(b"a") is None


# Guards against a full disk that stops reads and deletes, or for ever; and against half a batch.
def test_a_full_disk() -> None:
    disk = Disk(capacity=2000)
    store = open_on(disk, Limits(segment_bytes=600, reserve_bytes=300))
    done = []
    with pytest.raises(StoreFullError):
        for n in range(100):
            store.put(b"%d" % n, bytes(50))
            store.sync()
            done.append(b"%d" % n)
    assert len(done) >= 8 and all(store.get(key) == bytes(50) for key in done)
    with pytest.raises(StoreFullError):
        store.batch([(b"x", bytes(500), 0.0), (b"y", b"1", 0.0)])
        store.sync()
    assert store.get(b"x") is None and store.get(b"y") is None
    for key in done[:-3]:
        store.delete(key)
    store.sync()
    store.compact(everything=True)
    store.put(b"again", b"there is room")
    store.sync()
    assert contents(store) == {**{key: bytes(50) for key in done[-3:]}, b"again": b"there is room"}
    store.close()
    assert contents(open_on(disk))[b"again"] == b"there is room"


def test_the_bound_of_bytes_refuses_with_the_time_of_the_next_expiry() -> None:
    store = open_on(Disk(), Limits(segment_bytes=400, total_bytes=800))
    with pytest.raises(StoreFullError) as full:
        for n in range(100):
            store.put(b"%d" % n, bytes(40), 1060.0)
            store.sync()
    assert full.value.frees_in is not None and 58 <= full.value.frees_in <= 62
    store.delete(b"1")  # deletes go on
    store.sync()


# Guards against trust in a segment after its fsync failed: the kernel may have dropped the pages.
def test_a_failed_fsync_is_never_trusted_again() -> None:
    disk = Disk()
    store = open_on(disk, Limits())
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
    assert contents(open_on(disk)) == {b"a": b"1", b"b": b"3"}


def test_short_writes_are_written_on() -> None:
    disk = Disk()
    disk.fault = lambda call, name: 7 if call == "append" else None
    store = open_on(disk)
    store.put(b"a", b"x" * 100)
    store.sync()
    store.close()
    assert open_on(disk).get(b"a") == b"x" * 100


def test_a_newer_format_is_refused_and_left_alone() -> None:
    disk, _ = lived()
    name = next(name for name in disk.files if name.endswith(".seg"))
    head = bytearray(fmt.SEGMENT_HEADER.pack(fmt.MAGIC, 2, 1, 0, 0)[: -fmt.CHECKSUM.size])
    disk.files[name].data[: fmt.SEGMENT_HEADER.size] = head + fmt.CHECKSUM.pack(fmt.checksum(bytes(head)))
    before = bytes(disk.files[name].data)
    with pytest.raises(StoreError, match="format 2, this program reads up to 1"):
        open_on(disk)
    assert bytes(disk.files[name].data) == before and not disk.locked


def test_two_processes_on_one_directory(tmp_path: Path) -> None:
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
    with Store.open(str(tmp_path)) as store:  # a kill lets the lock go
        assert store.get(b"a") == b"1"


# Guards against writers that see each other's results, and a reader that meets a segment on its way out.
def test_threads_write_and_read_while_it_compacts(tmp_path: Path) -> None:
    wrong: list[str] = []
    with Store.open(str(tmp_path), Limits(segment_bytes=20_000, garbage_ratio=0.2)) as store:

        def work(who: int) -> None:
            for n in range(300):
                key = b"%d:%d" % (who, n % 20)
                store.put(key, b"%d" % n).result()
                if store.get(key) != b"%d" % n:
                    wrong.append(f"{who} {n}")

        threads = [threading.Thread(target=work, args=(who,)) for who in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert not wrong and len(store) == 120
        assert store.stats.commits < 1800  # commits were shared
        store.snapshot(str(tmp_path / "snap"))
        compacted = store.stats.compacted
    assert compacted > 0
    with Store.open(str(tmp_path / "snap")) as copy:
        assert len(contents(copy)) == 120


# Guards against the store's thread ending where a caller compacts beside it, after which no put would ever be done.
def test_a_caller_may_compact_beside_the_store_s_thread(tmp_path: Path) -> None:
    with Store.open(str(tmp_path), Limits(segment_bytes=5000, garbage_ratio=0.3)) as store:
        for _ in range(4):
            for n in range(150):
                store.put(b"%d" % n, bytes(80))
                if n % 50 == 49:
                    store.sync()
            store.compact(everything=True)
        assert store.put(b"last", b"1").result(timeout=10) > 0
        assert len(contents(store)) == 151


def test_a_scan_is_of_one_moment() -> None:
    store = open_on(Disk())
    for n in range(20):
        store.put(b"%02d" % n, b"old")
    store.sync()
    rows: Iterator[tuple[bytes, bytes, float]] = store.scan()
    first = next(rows)
    for n in range(20):
        store.delete(b"%02d" % n)
    store.put(b"new", b"new")
    store.sync()
    assert not store.compact_slice(everything=True)  # what is read is pinned
    assert len([first, *rows]) == 20 and contents(store) == {b"new": b"new"}


def test_bad_input_is_refused() -> None:
    store = open_on(Disk())
    for key, value in ((b"", b"x"), (b"k" * 2000, b"x"), (b"k", bytes(2 << 20))):
        with pytest.raises(ValueError):
            store.put(key, value)
    with pytest.raises(ValueError):
        store.batch([])
    store.close()
    with pytest.raises(StoreError):
        store.put(b"a", b"b")


# ---- Its parts against plain ones
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3), st.booleans()), max_size=80), st.booleans())
@profile(max_examples=60, deadline=None)
def test_the_index_is_a_dict(rows: list[tuple[int, int, bool]], merge: bool) -> None:
    index, plain = Index(), dict[int, tuple[int, int]]()
    for seq, (key, place, drop) in enumerate(rows, 1):
        name = key << 60 | key
        index.put(name, place, seq, 0.0)
        plain[name] = place, seq
        if merge and drop:
            index.merge()
    for name, (place, seq) in plain.items():
        assert index.get(name) == (place, seq, 0.0)
    assert len(index) == sum(place != 0 for place, _ in plain.values())
    assert index.get(1 << 100) is None and MIN_MERGE_ENTRIES > 80


@given(st.lists(st.floats(0, 100_000), max_size=50), st.lists(st.floats(0, 20_000), max_size=12))
@profile(max_examples=40, deadline=None)
def test_the_wheel_tells_what_a_heap_would(times: list[float], steps: list[float]) -> None:
    wheel, now = TimingWheel(0.0), 0.0
    waiting = dict(enumerate(times))
    for n, when in waiting.items():
        wheel.add(when, n)
    for step in steps:
        now += step
        told = wheel.expire(now)
        for n in told:
            assert waiting.pop(n) <= now
        assert all(when + 1 > int(now) for when in waiting.values())
    assert wheel.count == len(waiting)


def test_no_descriptor_is_left_open(tmp_path: Path) -> None:
    before = len(os.listdir("/proc/self/fd"))
    for _ in range(3):
        with Store.open(str(tmp_path), Limits(segment_bytes=500)) as store:
            for n in range(30):
                store.put(b"%d" % n, bytes(50))
    assert len(os.listdir("/proc/self/fd")) == before
