"""Connects a match server to the fleet's duties. Methods called on the server's event path never block.

Three threads, each with its own connections: the driver (calls to the coordinator), the worker (steps of the duties)
and the reporter (this server's consumption and demand, its grants and restart permits).
"""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from lapishaven.core.contracts import Contract
from lapishaven.lock_waits import LockUse, LockWaits, ObserveLock, ignore_lock_use
from lapishaven.ownership.agent import Agent, Duty
from lapishaven.ownership.consumption import ConsumptionRecorder
from lapishaven.ownership.coordinators.sqlite import BUSY_TIMEOUT_S as COORDINATOR_BUSY_TIMEOUT_S
from lapishaven.ownership.coordinators.sqlite import SqliteCoordinator
from lapishaven.ownership.duties import budgets, periods, restart
from lapishaven.ownership.fenced_store import BUSY_TIMEOUT_S as RECEIVER_BUSY_TIMEOUT_S
from lapishaven.ownership.fenced_store import DutySchema, FencedStore, FencedStoreError
from lapishaven.ownership.member import Member
from lapishaven.ownership.model import Clock, Coordinator, CoordinatorError, MemberRecord, MemberState, SystemClock
from lapishaven.ownership.notices import NoticeKind
from lapishaven.ownership.overload import OverloadDetector
from lapishaven.ownership.quota import NOT_GRANTED_HERE, QuotaClient
from lapishaven.ownership.restart_reporter import RestartReporter
from lapishaven.ownership.settings import OwnershipError, OwnershipSettings, PeriodSettings

DUTY_SCHEMAS: Mapping[str, DutySchema] = {
    "periods": periods.DUTY_SCHEMA,
    "restart": restart.DUTY_SCHEMA,
    "budgets": budgets.DUTY_SCHEMA,
}
ETCD_TIMEOUTS_PER_TTL = 5  # the timeout of one call to etcd is the time to live of a lease divided by this
MS_PER_S = 1000
FINAL_FLUSH_TIMEOUT_S = 0.1  # the process is killed 0.15 s after the end of the event loop
FINAL_JOIN_TIMEOUT_S = 0.02


def open_coordinator(
    settings: OwnershipSettings, clock: Clock | None = None, observe_lock: ObserveLock = ignore_lock_use
) -> Coordinator:
    """Open the configured coordinator; ``observe_lock`` is told of the waits for a file's lock.

    Raises ``OwnershipError`` if that fails or its library is not installed.
    """
    try:
        if isinstance(settings.coordinator, tuple):
            from lapishaven.ownership.coordinators.etcd import EtcdCoordinator

            host, port = settings.coordinator
            return EtcdCoordinator(host, port, settings.prefix, settings.rules.ttl / ETCD_TIMEOUTS_PER_TTL)
        return SqliteCoordinator(settings.coordinator, clock, observe_lock=observe_lock)
    except ImportError:
        raise OwnershipError(
            f"cannot use the etcd coordinator {settings.coordinator}: install lapishaven[ownership]"
        ) from None
    except CoordinatorError as error:
        raise OwnershipError(f"cannot open the coordinator: {error}") from None


def terminate_process() -> None:
    """Send this process a SIGTERM, which shuts it down gracefully."""
    os.kill(os.getpid(), signal.SIGTERM)


def _print_to_stderr(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


class Participant:
    """A match server's membership in the fleet. The server calls the public methods on its event path.

    ``log`` gets one JSON line for each event of interest to operators. ``terminate`` is called on the reporter's thread
    when a rolling restart permits this process to shut down.
    """

    def __init__(
        self,
        settings: OwnershipSettings,
        name: str,
        contracts: list[Contract] | None,
        log: Callable[[str], None] | None = None,
        clock: Clock | None = None,
        terminate: Callable[[], None] = terminate_process,
    ) -> None:
        self.settings = settings
        self.name = name
        self.reporting_failures = 0
        self._terminate = terminate
        self._log = log or _print_to_stderr
        self._clock = clock or SystemClock()
        self.incarnation = f"{name}:{os.getpid()}:{int(self._clock.now() * 1000)}"
        self._lock_waits = LockWaits()
        try:
            self._worker_store = FencedStore(settings.receiver, DUTY_SCHEMAS, observe_lock=self._observe_lock)
            self._reporter_store = FencedStore(settings.receiver, DUTY_SCHEMAS, observe_lock=self._observe_lock)
        except FencedStoreError as error:
            raise OwnershipError(f"cannot start ownership: {error}") from None
        self._consumption = self._consumption_recorder()
        self._quota: QuotaClient | None = None
        if settings.budgets is not None and contracts:
            self._quota = QuotaClient(name, settings.budgets, contracts, self._clock)
        self._restarts = RestartReporter(name, self.incarnation, settings.obeys_restarts, settings.supervised)
        self.agent = self._agent(self._duties(contracts))
        self._log_locked_files()
        self._overload = OverloadDetector(settings.overload) if settings.overload is not None else None
        # Totals since the start; written by the event path, read by the reporter.
        self._answers = 0
        self._rejections = 0
        self._reads_late = False
        self._draining = False
        self._closed = threading.Event()
        self._reporter = threading.Thread(target=self._run_reporter, name="errands", daemon=True)

    # ---- Construction
    def _log_locked_files(self) -> None:
        """Log each file that another process holds locked: it is opened by a later call, and the server serves."""
        coordinator = self.settings.coordinator
        locked = [(self.settings.receiver, RECEIVER_BUSY_TIMEOUT_S)] if not self._worker_store.is_open else []
        if isinstance(self.agent.driver.coordinator, SqliteCoordinator) and not self.agent.driver.coordinator.is_open:
            locked.append((str(coordinator), COORDINATOR_BUSY_TIMEOUT_S))
        for path, timeout_s in locked:
            why = f"locked by another process; opening it is repeated, each call waits up to {timeout_s:g} s"
            self._log_event(NoticeKind.WAITING.value, {"file": path, "why": why})

    def _consumption_recorder(self) -> ConsumptionRecorder | None:
        settings = self.settings.periods
        if settings is None:
            return None
        collector = periods.ConsumptionCollector(self.name, self.incarnation, settings.shards, settings.length)
        return ConsumptionRecorder(collector, self._clock)

    def _agent(self, duties: list[Duty]) -> Agent:
        shards = [(duty.name, number) for duty in duties for number in range(duty.shards)]
        record = MemberRecord(self.name, self.incarnation, weight=self.settings.weight)
        return Agent(
            Member(record, shards, self.settings.rules, Random(self.incarnation)),
            open_coordinator(self.settings, self._clock, self._observe_lock),
            self._worker_store,
            duties,
            self._clock,
            self._log_event,
            progress_coordinator=open_coordinator(self.settings, self._clock, self._observe_lock),
        )

    def _duties(self, contracts: list[Contract] | None) -> list[Duty]:
        duties: list[Duty] = []
        if self.settings.periods is not None:
            duties.append(self._period_closing(self.settings.periods))
        if self.settings.budgets is not None and contracts:
            rates = {contract.name: contract.rate for contract in contracts}
            duties.append(budgets.QuotaDistribution(rates, self.settings.budgets.span, self._worker_store.read))
        duties.append(restart.RollingRestart(self._worker_store.read, self._restart_token, self._serving_members))
        return duties

    def _period_closing(self, settings: PeriodSettings) -> periods.PeriodClosing:
        store = self._worker_store
        return periods.PeriodClosing(
            settings.shards,
            settings.length,
            settings.grace,
            self._clock.wall,
            lambda shard: store.read("select max(period) from period_closed where shard = ?", (shard,))[0][0],
            lambda shard: store.read("select min(period) from consumption where shard = ?", (shard,))[0][0],
        )

    def _restart_token(self) -> int:
        with self.agent.driver.lock:
            return self.agent.member.token(self._clock.now(), (restart.RollingRestart.name, 0)) or 0

    def _serving_members(self) -> Mapping[str, float]:
        """Weights of the members that the coordinator lists as serving, by name."""
        with self.agent.driver.lock:
            view = self.agent.member.view
        records = [member.record for member in view.members] if view is not None else []
        return {record.name: record.weight for record in records if record.state is MemberState.SERVING}

    # ---- Called by the server
    def start(self) -> None:
        """Start all threads."""
        self.agent.start()
        self._reporter.start()

    def request_served(self, team: str | None, class_name: str, weight: float, idempotency_key: str | None) -> None:
        """Record a request that was served, with its priority weight."""
        self._answers += 1
        if self._consumption is not None:
            self._consumption.record(team or "", class_name, weight, idempotency_key)

    def take_budget(self, now: float, contract: Contract) -> float:
        """Take a token of a contract's quota: returns 0 if one was available, else the seconds until one may be;
        negative if the contract is not under quota grants."""
        return self._quota.take(contract) if self._quota is not None else NOT_GRANTED_HERE

    def request_not_served(self, rejected: bool) -> None:
        """Record a request that was answered without being served."""
        self._answers += 1
        self._rejections += rejected

    def set_overloaded(self, reads_late: bool) -> None:
        """Set whether the server now reads requests too late for their latency objectives."""
        self._reads_late = reads_late

    def state(self) -> dict[str, int]:
        """Gauges and counters, described in ``docs/operators/ownership.md``."""
        # Read without the member's lock, for which the event path must not wait. Each value is right by itself; the
        # values may be of different instants.
        member = self.agent.member
        counters = self.agent.counters
        view = member.view
        usable = member.session.lease.usable(self._clock.now())
        return {
            "in": int(usable),
            "members": len(view.members) if view is not None else 0,
            "shards": len(member.assignment.tokens) if usable else 0,
            "acts": counters.effects_acknowledged,
            "repeats": counters.repeats,
            "stale_refused": counters.effects_stale,
            "behind": counters.receiver_behind,
            "failed": counters.failed + self.reporting_failures,
            "gained": counters.shards_gained,
            "lost": counters.shards_lost,
            "handed": counters.shards_transferred,
            "doubts": counters.outcomes_uncertain,
            "joins": counters.joins,
            "coordinator_calls": self.agent.driver.call_count,
            "shed": self._overload.shed_count if self._overload is not None else 0,
            "lock_timeouts": self._lock_waits.timeouts,
            "lock_wait_max_ms": round(self._lock_waits.max_waited_s * MS_PER_S),
            "lock_held_max_ms": round(self._lock_waits.max_held_s * MS_PER_S),
        }

    def drain(self) -> None:
        """Transfer all shards and deregister, in the background."""
        self._draining = True
        self.agent.drain()

    def close(self) -> None:
        """Flush the last rows and stop. Shards that were not transferred become free when the lease expires."""
        self._closed.set()
        self._reporter.join(FINAL_FLUSH_TIMEOUT_S)
        self.agent.join(FINAL_JOIN_TIMEOUT_S)
        self.agent.stop()

    # ---- Events
    def _log_event(self, kind: str, fields: Mapping[str, Any]) -> None:
        if kind != NoticeKind.EFFECT_ACKNOWLEDGED.value:
            self._log(json.dumps({"ownership": kind, "start": self.incarnation, **fields}))

    def _observe_lock(self, use: LockUse) -> None:
        self._lock_waits.observe(use)
        if use.is_slow:
            held_ms = None if use.held_s is None else round(use.held_s * MS_PER_S)
            fields = {"file": use.path, "call": use.kind, "waited_ms": round(use.waited_s * MS_PER_S)}
            self._log_event(NoticeKind.SLOW_LOCK.value, {**fields, "held_ms": held_ms})

    # ---- The reporter's thread
    def _run_reporter(self) -> None:
        while not self._closed.wait(self.settings.flush_interval):
            self._report()
        self._report()

    def _report(self) -> None:
        self._shed_if_overloaded()
        try:
            if self._consumption is not None:
                self._consumption.flush(self._reporter_store)
            if self._quota is not None:
                self._quota.exchange(self._reporter_store)
            self._report_to_restarts()
        except FencedStoreError as error:
            self.reporting_failures += 1
            self._log_event(NoticeKind.FAILED.value, {"why": str(error)})

    def _shed_if_overloaded(self) -> None:
        """Shed one shard if the server has been overloaded for the configured time."""
        detector = self._overload
        driver = self.agent.driver
        if detector is None or self._draining:
            return
        with driver.lock:
            now = self._clock.now()
            member = self.agent.member
            assignment = member.assignment
            detector.observe(now, self._answers, self._rejections, self._reads_late)
            shard = detector.shard_to_shed(
                now, self.name, self.settings.weight, member.view, assignment.tokens, len(assignment.shards)
            )
            if shard is not None:
                member.shed(now, shard, detector.rules.recovery_time)
            elif detector.overloaded(now):
                assignment.extend_shedding(now, detector.rules.recovery_time)
        if shard is not None:
            duty, number = shard
            self._log_event(NoticeKind.OVERLOADED.value, {"duty": duty, "shard": number})
            driver.wake()

    def _report_to_restarts(self) -> None:
        ready = not self._draining and not self._closed.is_set()
        permit = self._restarts.report(self._reporter_store, ready)
        if permit is not None:
            self._log_event(NoticeKind.RESTARTING.value, {"token": permit.token})
            # The reporter runs on until ``close``: the server still serves while it drains.
            self._draining = True
            self._terminate()
