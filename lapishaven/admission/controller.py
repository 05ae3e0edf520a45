"""Every admission decision. Its types are in ``settings.py``, ``events.py`` and ``actions.py``.

Ordinary path: busy samples of the cores fill a rolling window; a request that is read is refused with a
chance that rises linearly from 0 at a lower to 1 at an upper threshold of the window's average; what passes
is held and runs under a stepped running limit. The rest guards what the rules ask for, or answers a symptom
that the window cannot see. Pure: no clock, no I/O; the same events and seed give the same actions.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from heapq import heappop, heappush

from lapishaven.admission.actions import (
    Action,
    AwaitOriginal,
    CallDependency,
    CancelRun,
    Fail,
    PublishLoad,
    Reject,
    ReleaseKey,
    ReserveKey,
    ScheduleTimer,
    SetHealth,
    SetIdleTimeout,
    SkipDependency,
    StartRun,
)
from lapishaven.admission.events import (
    DependencyCallFinished,
    DependencyCallNeeded,
    DrainRequested,
    Event,
    LoadSample,
    Outcome,
    RequestArrived,
    RunFinished,
)
from lapishaven.admission.ports import AdmissionPools
from lapishaven.admission.settings import Idempotency, RequestClass, Settings

# ---- Named constants: unit, and why
POLL = 0.1  # s; the gauge spans half a second, so five polls see each change; cheap at ten a second
WINDOW = 10  # samples, so one second: short against every aim, long against the noise of a poll
LOWER = 0.95  # average busy share from which refusing starts: cores that are not full need no refusal
UPPER = 1.7  # where all are refused: waiting work of half a shortest aim or more on top of full cores
FULL = 0.8  # latest busy share that counts as nearly all busy: below it nothing is refused by chance
STEP = 0.25  # the running limit grows by this part of itself a poll
CUT = 0.8  # and is cut to this part
CLIMB = 4.0  # run latency over its base that counts as well past it: the base is the least of few runs
SLOW = 2.5  # call time over its base that counts as slow: one base for all calls, so a steadier one
CUT_CONCURRENCY = 2.0  # runs a core past which the limit is cut: such cores do less in total
SAFE_CONCURRENCY = 0.85  # part of the concurrency that is survived used as a ceiling: reading needs the rest
MEMORY = 0.92  # part of the memory booked at most: what was read in the next batch comes on top
MARGIN = 1.5 * POLL  # s before the due time at which the answer goes out: the poll may be that late
EARLY = 1.0  # of its mean time that must be left to a run: those begun with less mostly came too late
RECENT = 0.1  # weight of the newest run in the latency mean
TENANT_SPAN = 5.0  # s; span of a tenant's local rate: about thirty requests, so a sixth of noise
STEADY = 0.028  # weight of the newest chance in what is told: 3.6 s, so callers do not swing in step
NARROW = 8.0  # how fast a window narrows: at a quarter of chance all windows make about one running limit
LAST = 0.25  # told chance from which a refusal says that trying elsewhere will not help, at most; and
LAST_PEERS = 4.0  # peers likely to refuse as well that suffice: retries walk a part of the list, each read
TABLE = 2.0  # connections, over the runs that are survived, from which idle ones are closed
ADVICE = POLL  # s to keep away after a refusal, to twice that at full chance: longer, callers swing in step
PATIENCE = 0.5  # part of a class's aim that a call, or the wait for its turn, may take

HELD, ATTACHED, RUNNING, STANDING, CALLING, PAUSED = range(6)


class _Request:
    """What the controller knows of one request."""

    __slots__ = (
        "id",
        "spec",
        "cls",
        "kb",
        "due",
        "aim_at",
        "arrived",
        "place",
        "value",
        "state",
        "ran",
        "answered",
        "kept",
        "since",
        "guarded",
    )

    def __init__(self, a: RequestArrived, spec: RequestClass, now: float) -> None:
        self.id, self.spec, self.cls, self.kb = a.request_id, spec, a.class_index, a.memory_kb
        self.arrived = now - a.age
        self.due = max(now, a.deadline if a.deadline is not None else self.arrived + spec.deadline)
        self.aim_at = self.arrived + spec.latency_objective + (spec.objective_per_cost or 0.0) * (a.cost_hint or 0.0)
        self.place, self.value, self.since = 0.0, 1.0, 0.0
        self.state = HELD
        self.ran = self.answered = self.kept = False
        self.guarded = spec.idempotency is not Idempotency.IDEMPOTENT


class Controller:
    """Decides for one life of one instance; ``handle`` takes a batch of events and returns the actions."""

    def __init__(self, settings: Settings, seed: int, pools: AdmissionPools | None = None) -> None:
        if settings.cores < 1 or not settings.classes or settings.memory_kb <= 0:
            raise ValueError("settings need at least one core, one class and some memory")
        if any(c.latency_objective <= 0 or c.deadline <= 0 or c.priority_weight < 0 for c in settings.classes):
            raise ValueError("each class needs an aim and a deadline above 0 and a worth of 0 or more")
        self.s, self.rng, self.pools = settings, random.Random(seed), pools
        self.out: list[Action] = []
        self.now = self.born = self.kill_at = 0.0
        self.requests: dict[int, _Request] = {}
        self.held: dict[int, _Request] = {}
        self.count = [0] * 6
        self.dues: list[tuple[float, int]] = []
        self.samples: deque[float] = deque(maxlen=WINDOW)
        self.busy = self.chance = self.said = self.unread = self.steady = self.calls_mean = self.memory = 0.0
        self.good, self.started, self.limit = True, False, float(settings.cores)
        self.latency = [0.0] * (len(settings.classes) + 1)  # of each class's runs and, last, of calls below
        self.base = list(self.latency)
        self.fair = 0.9 * settings.dependency_quota if settings.dependency_quota is not None else float("inf")
        self.tenant_seen = [0] * len(settings.tenants)
        self.tenant_rate = [0.0] * len(settings.tenants)
        self.tenant_weight = [1.0] * len(settings.tenants)
        self.keys: list[tuple[float, int]] = []
        self.kept: dict[int, float] = {}  # what is booked for each entry
        self.calls_waiting: deque[int] = deque()
        self.lingering: deque[float] = deque()
        self.caller_seen: dict[int, tuple[float, list[float]]] = {}  # when, and the time given by class
        self.idle = settings.idle_timeout
        self.drain_from: float | None = None

    def retune(self, settings: Settings) -> None:
        """New settings at a reload. Classes keep their numbers: new ones come last, dropped ones stay
        listed, and open requests keep the class they came with. ``ValueError`` if classes were taken away."""
        grow = len(settings.classes) - len(self.s.classes)
        if grow < 0 or len(settings.tenants) != len(self.s.tenants):
            raise ValueError("classes keep their numbers, and tenants stay")
        for figures in (self.latency, self.base):
            figures[-1:-1] = [0.0] * grow
        for _, given in self.caller_seen.values():
            given += [0.0] * grow
        self.s = settings

    # ---- Batch
    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """All decisions on one batch; one dispatch pass at its end."""
        self.now, self.out = now, []
        if not self.started:
            self.started, self.born = True, now
            # Cold guard: told from the start, so that callers do not first learn it by refusals.
            self.steady = 1.0 - self.s.slow_start_initial_speed if self.s.slow_start else 0.0
            self.out += (SetHealth(True), ScheduleTimer(POLL, 0))
        for event in events:
            if isinstance(event, RequestArrived):
                self._arrival(event)
            elif isinstance(event, LoadSample):
                self._poll(event)
            elif isinstance(event, DrainRequested):
                self._drain(event.kill_at)
            elif (r := self.requests.get(event.request_id)) is not None:
                if isinstance(event, RunFinished):
                    self._finished(r, event)
                elif isinstance(event, DependencyCallNeeded):
                    self._stand(r)
                elif isinstance(event, DependencyCallFinished):
                    self._learn(-1, event.elapsed)
                    self._call_ended(r, event.outcome)
                else:
                    self._let_go(r)
        self._watch_dues()
        self._watch_keys()
        self._make_calls()
        self._dispatch()
        return self.out

    def _move(self, r: _Request, state: int | None) -> None:
        """The one place where counts, memory and the hold change; ``None`` ends the request."""
        factor = self.s.running_memory_factor
        self.count[r.state] -= 1
        self.memory -= r.kb * (factor if r.state >= RUNNING else 1.0)
        self.held.pop(r.id, None)
        if state is None:
            del self.requests[r.id]
            return
        r.state, r.since = state, self.now
        self.count[state] += 1
        self.memory += r.kb * (factor if state >= RUNNING else 1.0)
        if state == HELD:
            self.held[r.id] = r

    # ---- Window and chance
    def _sample(self, poll: LoadSample) -> None:
        # Stall guard: at the concurrency ceiling nothing more can start, however idle the cores look (work or
        # the dependency stands still), so that counts as busy. Harm: long waits for disk look like a stall.
        stalled = sum(self.count[RUNNING:PAUSED]) + 1 > self._ceiling()
        self.busy = 1.0 if stalled or poll.cpu_utilization is None and self.held else poll.cpu_utilization or 0.0
        # Full cores read 1 at any demand above them, so waiting work is added as the busy share that it will
        # become: its wait, unread and held, over the shortest aim. It acts only while the cores are nearly
        # all busy. Harm: one long run among few makes the hold look slower than it is.
        self.samples.append(self._load())
        self.unread *= 0.7  # faded, so that one late read does not outlast the span of the gauge
        self.chance = self._between(sum(self.samples) / len(self.samples))

    def _load(self) -> float:
        wait = self.unread + sum(self._run_time(r.cls) for r in self.held.values()) / self.limit
        return self.busy + (wait / min(c.latency_objective for c in self.s.classes) if self.busy >= FULL else 0.0)

    def _between(self, load: float) -> float:
        return min(1.0, max(0.0, (load - LOWER) / (UPPER - LOWER)))

    def _run_time(self, cls: int) -> float:
        if self.pools is not None:
            return self.pools.run_time(cls)
        return self.latency[cls] or 0.2 * self.s.classes[cls].latency_objective

    def _worth(self, cls: int) -> float:
        """Worth for each second of the machine's time."""
        return self.s.classes[cls].priority_weight / (1.0 if self.s.weight_per_request else self._run_time(cls))

    def _learn(self, n: int, spent: float) -> None:
        """Mean time of a class's runs, or of calls, and its base: the least mean, let rise slowly."""
        seen, base = self.latency[n], self.base[n]
        self.latency[n] = seen = seen + RECENT * (spent - seen) if seen else spent
        self.base[n] = base + 0.01 * (seen - base) if 0.0 < base < seen else seen

    def _climb(self, n: int) -> float:
        return self.latency[n] / self.base[n] if self.base[n] else 1.0

    # ---- Running limit
    def _step_limit(self, poll: LoadSample) -> None:
        cores, wanted = self.s.cores, poll.runnable or 0.0
        room = self.busy < FULL and wanted < cores
        climbed = any(self._climb(n) > CLIMB for n in range(len(self.s.classes)))
        # Room comes first: a class that no longer gets to run keeps a stale, high latency, and a cut on that
        # alone held the limit at its floor with idle cores and a hundred requests waiting. Only runs count
        # as concurrency: cut for the reads and handshakes on the cores, they would leave the cores to those.
        if room and self.held and self.count[RUNNING] + 1 > self.limit:
            self.limit += max(1.0, STEP * self.limit)
        elif not room and (climbed or min(wanted, self.count[RUNNING]) > CUT_CONCURRENCY * cores):
            self.limit *= CUT
        self.limit = max(float(cores), min(self.limit, self._ceiling()))

    def _ceiling(self) -> float:
        """Concurrency guard: runs that even the slowest allowed warm-up survives, with those at a call."""
        share = 1.0
        if self.s.slow_start and self.s.slow_start_span > 0:
            warm = min(1.0, (self.now - self.born) / self.s.slow_start_span)
            share = self.s.slow_start_initial_speed + (1.0 - self.s.slow_start_initial_speed) * warm
        return max(1.0, SAFE_CONCURRENCY * self.s.cores * (1.0 + (self.s.collapse_concurrency - 1.0) * share))

    # ---- Admission at read
    def _arrival(self, a: RequestArrived) -> None:
        spec = self.s.classes[a.class_index]
        r = _Request(a, spec, self.now)
        self.requests[r.id] = self.held[r.id] = r
        self.count[HELD] += 1
        self.memory += r.kb
        if a.tenant_index < len(self.tenant_seen):
            self.tenant_seen[a.tenant_index] += 1
            r.value = self.tenant_weight[a.tenant_index]
        # Taken out and put back, so that the first is the one not seen for longest.
        given = self.caller_seen.pop(a.caller_id, (0.0, [0.0] * len(self.s.classes)))[1]
        self.caller_seen[a.caller_id] = (self.now, given)
        if a.deadline is not None:
            # A marked retry with less time left than its caller gives this class is that much older.
            left = a.deadline - r.arrived
            given[a.class_index] = max(given[a.class_index], left)
            if a.is_retry:
                r.aim_at -= given[a.class_index] - left
        if self.drain_from is not None:
            r.due = min(r.due, self.kill_at - MARGIN)
        self.unread = max(self.unread, a.age)
        heappush(self.dues, (r.due - MARGIN, r.id))
        if a.duplicate_of is not None and (r.guarded or (self.s.result_freshness > 0 and not a.is_write)):
            self._move(r, ATTACHED)
            self.out.append(AwaitOriginal(r.id))
            return
        least = min(map(self._worth, range(len(self.s.classes))))
        r.value *= self._worth(a.class_index) / least if least > 0 else 1.0
        # The refusal probability is held against the caller's place in its class, so a retry draws nothing
        # anew. The window lags a surge's end; what waits now bounds it, so that a dry hold is not refused.
        r.place = (a.rank * len(self.s.classes)) % 1.0 if a.rank > 0 else self.rng.random()
        pressed = self.busy >= FULL and (len(self.held) > 1 or self.unread > POLL)
        pools = self.pools
        full = pools.full(self.now, r.cls, r.aim_at, r.due - MARGIN) if pools is not None else None
        if max(self.memory, r.kb * self.s.running_memory_factor) > MEMORY * self.s.memory_kb:  # also what never fits
            self._refuse(r, "memory")
        elif full is not None:
            self._refuse(r, full[0], wait=full[1])
        elif pools is not None and pools.guards(r.cls):
            self._keep_if_guarded(r)
        elif pressed and r.place < min(self.chance, self._between(self._load())) ** r.value:
            self._refuse(r, "load", self.steady > min(LAST, LAST_PEERS / max(1, self.s.peer_count)))
        else:
            self._keep_if_guarded(r)
        if pools is not None and r.id in self.held:
            pools.hold(self.now, r.id, r.cls, r.kb, r.aim_at, r.due)

    def _refuse(self, r: _Request, reason: str, last: bool = False, wait: float = 0.0) -> None:
        """Turn away what never ran, with advice when to come back; anything else fails."""
        leaving, most = self.drain_from is not None, self.s.max_retry_after
        advice = most if leaving or most is None else min(most, wait or ADVICE * (1.0 + self.chance))
        if r.ran or r.state != HELD:
            self.out.append(Fail(r.id, reason))
        else:
            self.out.append(Reject(r.id, reason, advice, last))
        self._let_go(r)

    def _let_go(self, r: _Request) -> None:
        """Nobody waits for it any more: what is held is over, what runs is stopped where that is allowed."""
        if r.state in (HELD, ATTACHED, PAUSED):
            self._drop_key(r)
            self._move(r, None)
            if self.pools is not None:
                self.pools.dropped(r.id)
            return
        if r.state == CALLING and not r.answered:
            self.lingering.append(self.now + self.s.dependency_linger)
        elif r.state == RUNNING and not r.answered and self.s.cancellation is not None:
            self.out.append(CancelRun(r.id))
        r.answered = True

    # ---- Order of the hold
    def _hopeless(self, r: _Request) -> bool:
        end = self.now + EARLY * self._run_time(r.cls)
        return end > min(r.due - MARGIN, r.aim_at if r.spec.late_weight <= 0 else r.due)

    def _dispatch(self) -> None:
        for r in list(self.held.values()):
            if self.drain_from is not None and self._too_late(r):
                self._refuse(r, "drain")
            elif self._hopeless(r):
                self._refuse(r, "hopeless")
        at_call = self.count[STANDING] + self.count[CALLING]
        # Pools bound what runs themselves, under the same ceiling.
        limit = self.limit if self.pools is None else self._ceiling()
        room = min(limit, self._ceiling() - at_call) - self.count[RUNNING]
        if room < 1:
            return
        for r in self._order():
            if room < 1:
                return
            more = r.kb * (self.s.running_memory_factor - 1.0) if r.state == HELD else 0.0
            if self.memory + more > MEMORY * self.s.memory_kb or r.guarded and not r.kept:
                continue
            r.ran = True
            self._move(r, RUNNING)
            self.out.append(StartRun(r.id))
            room -= 1
            if self.pools is not None:
                self.pools.started(self.now, r.id)

    def _order(self) -> Iterable[_Request]:
        """By the pools' turns, where there are any; they hold what was paused as well."""
        if self.pools is not None:
            return (self.requests[id] for id in self.pools.order(self.now))
        return sorted(self.held.values(), key=lambda r: (r.aim_at < self.now, -r.value, r.aim_at))

    def _finished(self, r: _Request, event: RunFinished) -> None:
        if self.pools is not None:
            stopped = event.outcome is Outcome.CANCELLED and not r.answered
            if stopped and self.pools.suspended(self.now, r.id):
                self._move(r, PAUSED)
                return
            self.pools.ended(self.now, r.id, event.outcome is Outcome.OK)
        if event.outcome is Outcome.OK and r.state == RUNNING and not r.answered:
            self._learn(r.cls, event.elapsed)
        if event.outcome is Outcome.CANCELLED and not r.answered:
            self._move(r, HELD)
            self._refuse(r, "stopped")
        else:
            self._move(r, None)

    # ---- Calls below
    def _stand(self, r: _Request) -> None:
        if not r.answered:
            self._move(r, STANDING)
            self.calls_waiting.append(r.id)

    def _call_ended(self, r: _Request, outcome: Outcome) -> None:
        if r.state != CALLING or r.answered:
            return
        self._move(r, RUNNING if outcome is Outcome.OK else STANDING)
        if outcome is Outcome.OK:
            return
        if outcome is Outcome.TIMEOUT:
            self.lingering.append(self.now + self.s.dependency_linger)
        if r.spec.degraded_weight > 0:
            self._skip(r)
        elif outcome in (Outcome.OVERLOADED, Outcome.UNREACHABLE):
            self.calls_waiting.append(r.id)
        else:
            self._refuse(r, "call failed")

    def _calls(self) -> int:
        return self.count[CALLING] + len(self.lingering)

    def _skip(self, r: _Request) -> None:
        self.out.append(SkipDependency(r.id))
        self._move(r, RUNNING)

    def _make_calls(self) -> None:
        while self.lingering and self.lingering[0] <= self.now:
            self.lingering.popleft()
        # Dependency guard: once calls take well over their base, what cannot call at once goes without it.
        # Else all stand in line for what is slow and fall due. Harm: poorer answers in a short slowness.
        slow = self._climb(-1) > SLOW
        for _ in range(len(self.calls_waiting)):
            r = self.requests.get(self.calls_waiting[0])
            if r is None or r.state != STANDING or r.answered:
                self.calls_waiting.popleft()
            elif max(self.calls_mean, self._calls() + min(1.0, self.fair)) <= self.fair:
                self.calls_waiting.popleft()
                self._move(r, CALLING)
                left = max(POLL, r.due - MARGIN - self.now)
                self.out.append(CallDependency(r.id, min(left, PATIENCE * r.spec.latency_objective)))
            elif r.spec.degraded_weight > 0 and (slow or self.now - r.since > PATIENCE * r.spec.latency_objective):
                self.calls_waiting.popleft()
                self._skip(r)
            else:
                break

    # ---- Keys
    def _keep_if_guarded(self, r: _Request) -> None:
        if r.guarded:
            self._keep(r)

    def _keep(self, r: _Request) -> None:
        """An entry before the run, to the window's end, or a refusal; booked only for classes with keys."""
        size = self.s.key_entry_kb if r.spec.idempotency is Idempotency.WITH_KEY else 0.0
        if self.memory + size > MEMORY * self.s.memory_kb:
            self._refuse(r, "keys full")
            return
        end = r.arrived + (r.spec.idempotency_window or r.spec.deadline) + POLL
        r.kept = True
        self.kept[r.id] = size
        heappush(self.keys, (end, r.id))  # by their end: windows differ by class
        self.memory += size
        self.out.append(ReserveKey(r.id, end - self.now))

    def _drop_key(self, r: _Request) -> None:
        if r.kept and not r.ran and r.id in self.kept:
            self.out.append(ReleaseKey(r.id))
            self.memory -= self.kept.pop(r.id)

    def _watch_keys(self) -> None:
        while self.keys and self.keys[0][0] + POLL < self.now:
            self.memory -= self.kept.pop(heappop(self.keys)[1], 0.0)

    # ---- What is told to callers
    def _tell(self) -> None:
        self.steady += STEADY * (self.chance - self.steady)
        if self.s.load_signal is None:
            return
        off = self.drain_from is not None
        if self.s.load_signal == "level":
            value = 1.0 if off else self.steady
        elif self.s.load_signal == "weight":
            value = 0.0 if off else 1.0 - self.steady
        else:
            share = 3.0 * self.limit * (1.0 - self.steady)
            value = 0.0 if off else share / (1.0 + NARROW * self.steady * self.s.caller_count)
        if abs(value - self.said) > 0.02:
            self.said = value
            self.out.append(PublishLoad(value))

    def _close_idle(self) -> None:
        """Table guard: where those kept for all who came within the idle span would be far more than the runs
        that are survived, idle ones are closed. They tax the cores and fill the table, and callers beyond it
        are turned back unseen. Harm: a handshake for each request of those that come often.
        """
        span = self.s.idle_timeout or 0.0
        while self.caller_seen and next(iter(self.caller_seen.values()))[0] < self.now - span:
            del self.caller_seen[next(iter(self.caller_seen))]
        callers = max(len(self.caller_seen), self.s.caller_count)  # at the start, those that were told
        idle = POLL if callers > TABLE * self.s.cores * self.s.collapse_concurrency else span
        if span > 0 and idle != self.idle:
            self.idle = idle
            self.out.append(SetIdleTimeout(idle))

    # ---- Drain and health
    def _check_health(self) -> None:
        """Late-reading guard: when what is read has waited past every aim, none can be met, so the instance
        asks to be left out until it reads in time again.

        It tells a machine that is slow or stalled from one that is merely full, whose reads are prompt. Harm:
        were all machines so, all would leave; each comes back by itself once its unread work is gone.
        """
        back = self.unread < POLL and self.steady < 0.5
        good = self.unread <= max(c.latency_objective for c in self.s.classes) if self.good else back
        if good != self.good and self.drain_from is None and self.s.registry_follows_health:
            self.good = good
            self.out.append(SetHealth(good))

    def _drain(self, kill_at: float) -> None:
        self.drain_from, self.kill_at = self.now, kill_at
        self.out.append(SetHealth(False))
        self._tell()
        for r in self.requests.values():
            heappush(self.dues, (kill_at - 2 * MARGIN, r.id))

    def _too_late(self, r: _Request) -> bool:
        """Drain guard: past the grace nothing new runs, nor what cannot end well before the kill."""
        assert self.drain_from is not None
        late = r.arrived > self.drain_from + self.s.drain_grace - 0.01
        return late or self.now + 1.5 * self._run_time(r.cls) > self.kill_at - 2 * MARGIN

    def _watch_dues(self) -> None:
        while self.dues and self.dues[0][0] <= self.now:
            r = self.requests.get(heappop(self.dues)[1])
            if r is not None and not r.answered:
                self._refuse(r, "due")

    # ---- The one timer
    def _poll(self, poll: LoadSample) -> None:
        self.out.append(ScheduleTimer(POLL, 0))
        self._sample(poll)
        self._step_limit(poll)
        if self.pools is not None:
            self.out += [CancelRun(id) for id in self.pools.poll(self.now, poll) if id in self.requests]
        self.calls_mean += POLL / max(POLL, self.s.dependency_window) * (self._calls() - self.calls_mean)
        for n, tenant in enumerate(self.s.tenants):
            self.tenant_rate[n] += POLL / TENANT_SPAN * (self.tenant_seen[n] / POLL - self.tenant_rate[n])
            self.tenant_seen[n] = 0
            fair = tenant.quota / max(1, self.s.peer_count)
            inside = min(1.0, fair / self.tenant_rate[n]) if self.tenant_rate[n] > 0 else 1.0
            self.tenant_weight[n] = inside + self.s.over_quota_weight * (1.0 - inside)
        self._tell()
        self._close_idle()
        self._check_health()
