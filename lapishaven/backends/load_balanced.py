"""A backend of many processes behind the uwsgi protocol: each attempt goes where ``Spread`` says.

An attempt that was turned away unrun may go to another process within its deadline and the budget of second tries; one
that waits on a silent process does too if its class is safe, and a commit is told uncertain. One that failed goes
nowhere else. Attempts have a connection each, questions share one UDP socket.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from random import Random
from typing import Any

from lapishaven.admission import Outcome
from lapishaven.backends import BackendListener
from lapishaven.backends.uwsgi import DIAL, POOL, read_response
from lapishaven.connection_end import ConnectionEnd, outcome_of
from lapishaven.core.outcome_metrics import OUTCOME_LABELS
from lapishaven.counters import Counters
from lapishaven.load_balancing import AttemptOutcome, Choice, LoadBalancer, LoadReportError, Probe
from lapishaven.load_balancing.load_report import LoadReport, decode, decode_text
from lapishaven.load_balancing.settings import BalancingSettings
from lapishaven.net.connection import Connection, Dial, connect
from lapishaven.net.datagrams import Datagrams
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError
from lapishaven.proto import load as questions
from lapishaven.proto import uwsgi as proto

TRIES = 4  # of one attempt, over all processes
ROOM = 0.05  # s before an attempt's end at which no other try is begun
ENDINGS = {
    Outcome.OK: AttemptOutcome.SERVED,
    Outcome.OVERLOADED: AttemptOutcome.REJECTED,
    Outcome.UNREACHABLE: AttemptOutcome.UNREACHABLE,
    Outcome.CANCELLED: AttemptOutcome.ABANDONED,
}
UNRUN = (Outcome.OVERLOADED, Outcome.UNREACHABLE)


class Attempt:
    """One attempt of the core's, whichever process has it. ``turn`` tells an earlier try's end from the last one's."""

    def __init__(self, handle: str, cls: str, body: bytes, once: bool, began: float, until: float) -> None:
        self.handle, self.cls, self.body, self.once = handle, cls, body, once
        self.began, self.until = began, until
        self.conn: Connection | None = None
        self.process, self.sent, self.turn = "", 0.0, 0
        self.avoid: frozenset[str] = frozenset()
        self.halted = False


class LoadBalancedBackend:
    """A core backend. It cannot pause: to halt is to close the connection."""

    def __init__(
        self,
        loop: Loop,
        settings: BalancingSettings,
        cores: int,
        spans: dict[str, float],
        listener: BackendListener,
        counters: Counters,
        random: Random,
        dial: Dial = connect,
    ) -> None:
        self.loop, self.settings, self.cores, self.spans = loop, settings, cores, spans
        self.listener, self.counters, self._dial = listener, counters, dial
        self.balancer = LoadBalancer(settings.rules, random)
        self._running: dict[str, Attempt] = {}
        self._on: dict[str, set[Attempt]] = {}  # by process, those sent there
        self._waiting: dict[Choice, Attempt] = {}
        self._look_at = float("inf")
        self._questions = Datagrams(loop, ("0.0.0.0", 0), self._told)
        self._addresses: dict[str, tuple[str, int]] = {}
        self.set_addresses(settings.addresses)

    def run(self) -> Generator[Wait, Any, None]:
        """There is no link to hold: the backend is up at once."""
        self.listener.up(False, 0.0)
        return
        yield

    # ---- Members
    def set_addresses(self, addresses: Sequence[tuple[str, int]]) -> None:
        """These processes from now on; what is in hand at others goes on."""
        self._addresses |= {f"{host}:{port}": (host, port) for host, port in addresses}
        self.balancer.set_endpoints(f"{host}:{port}" for host, port in addresses)

    def change_address(self, address: tuple[str, int]) -> None:
        """The one address of a reload without a list: it is the only process then."""
        self.set_addresses((address,))

    # ---- Commands
    def start(self, handle: str, cls: str, body: bytes, once: bool) -> None:
        now = self.loop.now
        attempt = self._running[handle] = Attempt(handle, cls, body, once, now, now + self.spans[cls])
        if len(self._running) > self.settings.attempts:
            self.counters.add("spread", "no descriptor")
            return self._end(attempt, Outcome.UNREACHABLE)
        self._choose(attempt, first=True)

    def pause(self, handle: str) -> None:
        attempt = self._running.get(handle)
        if attempt is None:
            return
        attempt.halted = True
        if attempt.conn is not None:
            attempt.conn.close(ConnectionEnd.ABANDONED, unsent=False)

    def resume(self, handle: str) -> None:
        # Never paused, so there is nothing to go on with; the attempt ended when it was halted.
        attempt = self._running.get(handle)
        if attempt is not None:
            self._end(attempt, Outcome.CANCELLED)

    def gauges(self) -> None:
        """What this side can see: each attempt in hand wants a core of the processes'."""
        wanted = len(self._running)
        values = {"core_use": min(1.0, wanted / self.cores), "on_cores": float(wanted), "links": float(wanted)}
        self.loop.at(self.loop.now + POOL, lambda: self.listener.gauges(values))

    def health_check(self, told: Any) -> None:
        """Whether any process can be reached."""
        self.loop.spawn(self._dial_any(told))

    def _dial_any(self, told: Any) -> Generator[Wait, Any, None]:
        choice = self.balancer.begin_choice(self.loop.now, first=False)
        name = self.balancer.finish_choice(self.loop.now, choice)
        sock: Any = ConnectionEnd.UNREACHED
        if name is not None:
            sock = yield from self._dial(self.loop, self._addresses[name], DIAL)
        if not isinstance(sock, ConnectionEnd):
            sock.close()
        told(not isinstance(sock, ConnectionEnd))

    # ---- Choosing
    def _choose(self, attempt: Attempt, first: bool) -> None:
        choice = self.balancer.begin_choice(self.loop.now, attempt.avoid, first)
        self._ask(choice.probes)
        if choice.probes:
            self._waiting[choice] = attempt
            self.loop.at(choice.deadline, lambda: self._settle(choice))
        else:
            self._place(attempt, choice)
        self._plan()

    def _ask(self, probes: Sequence[Probe]) -> None:
        for probe in probes:
            self._questions.send(questions.encode_probe(probe.probe_id), self._addresses[probe.endpoint])

    def _told(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            id, word = questions.decode_answer(data)
            choice = self.balancer.receive_probe_answer(self.loop.now, id, decode(word))
        except (ProtocolError, LoadReportError):
            self.counters.add("spread", "no answers")
            return
        if choice is not None:
            self._settle(choice)

    def _settle(self, choice: Choice) -> None:
        attempt = self._waiting.pop(choice, None)
        if attempt is not None and self._running.get(attempt.handle) is attempt:
            self._place(attempt, choice)

    def _place(self, attempt: Attempt, choice: Choice) -> None:
        if attempt.halted:
            return self._end(attempt, Outcome.CANCELLED)
        name = self.balancer.finish_choice(self.loop.now, choice)
        if name is None:
            self.counters.add("spread", "nobody to be used")
            return self._end(attempt, Outcome.UNREACHABLE)
        attempt.turn += 1
        attempt.process, attempt.sent = name, self.loop.now
        self._on.setdefault(name, set()).add(attempt)
        self.balancer.attempt_started(self.loop.now, name)
        self.counters.add("spread", "sent")
        turn = attempt.turn
        self.loop.spawn(self._try(attempt, turn), lambda error: self._fault(attempt, turn))
        self._plan()

    # ---- One try
    def _try(self, attempt: Attempt, turn: int) -> Generator[Wait, Any, None]:
        name = attempt.process
        sock = yield from self._dial(self.loop, self._addresses[name], min(DIAL, attempt.until - self.loop.now))
        if attempt.turn != turn:  # given up meanwhile
            if not isinstance(sock, ConnectionEnd):
                sock.close()
            return
        if isinstance(sock, ConnectionEnd):
            # Whether refused or out of time, nothing was sent, so it never ran.
            return self._over(attempt, turn, outcome_of(ConnectionEnd.UNREACHED), b"", None)
        conn = Connection(self.loop, sock, lambda end: self.counters.add("ends", f"uwsgi backend {end.value}"))
        attempt.conn = conn
        if attempt.halted:
            conn.close(ConnectionEnd.ABANDONED, unsent=False)
        variables = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": self.settings.path + attempt.cls,
            "HTTP_X_REQUEST_ID": attempt.handle,
        }
        if turn > 1:
            variables["HTTP_X_RETRY"] = "1"
        conn.write(proto.packet(variables, attempt.body))
        outcome, result, response = yield from read_response(self.loop, conn, attempt.until)
        self._over(attempt, turn, outcome, result, response)

    def _fault(self, attempt: Attempt, turn: int) -> None:
        if attempt.conn is not None and attempt.turn == turn:
            attempt.conn.abort(ConnectionEnd.FAULT)
        self._over(attempt, turn, outcome_of(ConnectionEnd.FAULT), b"", None)

    def _over(
        self, attempt: Attempt, turn: int, outcome: Outcome, result: bytes, response: proto.Response | None
    ) -> None:
        if attempt.turn != turn or self._running.get(attempt.handle) is not attempt:
            return  # given up, and told so by whoever did
        now, name = self.loop.now, attempt.process
        self._off(attempt, ENDINGS.get(outcome, AttemptOutcome.FAILED), _pushback(response))
        if response is not None:
            self.balancer.receive_response_report(now, name, _word(response))
        if outcome in UNRUN and self._again(attempt, name, OUTCOME_LABELS[outcome]):
            return
        self._end(attempt, outcome, result)

    def _off(self, attempt: Attempt, ending: AttemptOutcome, pushback: float = 0.0) -> None:
        """It is no longer at its process."""
        attempt.conn = None
        self._on[attempt.process].discard(attempt)
        self.balancer.attempt_ended(self.loop.now, attempt.process, attempt.sent, ending, pushback)

    def _again(self, attempt: Attempt, name: str, why: str) -> bool:
        """Another process, if there is time and the budget has a second try."""
        now = self.loop.now
        if (
            attempt.halted
            or attempt.turn >= TRIES
            or now + ROOM > attempt.until
            or not self.balancer.retry_budget.try_withdraw(now)
        ):
            return False
        self.counters.add("spread", f"again after {why}")
        attempt.avoid |= {name}
        self._choose(attempt, first=False)
        return True

    def _end(self, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        if self._running.pop(attempt.handle, None) is not None:
            attempt.turn += 1
            self.listener.finished(attempt.handle, outcome, self.loop.now - attempt.began, result)

    # ---- Silence
    def _plan(self) -> None:
        when = self.balancer.next_check_at()
        if when < self._look_at:
            self._look_at = when
            self.loop.at(when, self._look)

    def _look(self) -> None:
        """Ask those of whom nothing is heard, and do what is to be done about what waits on the silent."""
        now = self.loop.now
        if now < self._look_at:
            return
        self._look_at = float("inf")
        probes, fell = self.balancer.check_responsiveness(now)
        self._ask(probes)
        if fell:
            self.counters.add("spread", "fell silent", len(fell))
        for known in list(self.balancer.failure_detector.suspects):
            self._waits_on(known.name, now)
        self._plan()

    def _waits_on(self, name: str, now: float) -> None:
        since = self.balancer.suspected_since(name)
        for attempt in sorted(self._on.get(name, ()), key=lambda each: each.sent):
            if since is None or attempt.halted:
                continue
            if not attempt.once:
                if (
                    attempt.turn < TRIES
                    and now + ROOM <= attempt.until
                    and self.balancer.retry_budget.try_withdraw(now)
                ):
                    self._give_up(attempt)
                    self.counters.add("spread", "again after silence")
                    attempt.avoid |= {name}
                    self._choose(attempt, first=False)
            elif now - since >= self.settings.rules.uncertain_after_s:
                self._give_up(attempt)
                self.counters.add("spread", "told uncertain")
                self._end(attempt, Outcome.TIMEOUT)

    def _give_up(self, attempt: Attempt) -> None:
        """Close its connection: a process that wakes up finds nobody there, and does not run it."""
        conn = attempt.conn
        self._off(attempt, AttemptOutcome.ABANDONED)
        attempt.turn += 1
        if conn is not None:
            conn.close(ConnectionEnd.ABANDONED, unsent=False)

    # ---- For operators, and the end
    def state(self) -> dict[str, Any]:
        """What is known of each process, why the last choices fell as they did, and the counts."""
        now = self.loop.now
        return {
            "processes": self.balancer.describe_endpoints(now),
            "counts": dict(self.balancer.counts),
            "usual_s": round(self.balancer.averages.request_s, 4),
            "mean_in_hand": round(self.balancer.averages.load_per_slot, 3),
            "panics": self.balancer.failure_detector.panics,
            "last": [
                {"ago_s": round(now - when, 3), "chosen": name, "costs": {n: round(cost, 4) for n, cost in costs}}
                for when, name, costs in self.balancer.selector.recent
            ],
        }

    def failed(self) -> None:
        """There is no link that could be left behind."""

    def close(self) -> None:
        """End for good."""
        for attempt in list(self._running.values()):
            if attempt.conn is not None:
                attempt.conn.abort(ConnectionEnd.SHUTDOWN)
        self._questions.close()


def _pushback(response: proto.Response | None) -> float:
    """Seconds for which the process wants to be left alone."""
    if response is None:
        return 0.0
    exact, whole = response.headers.get("x-pushback-ms", ""), response.headers.get("retry-after", "")
    if exact.isdigit():
        return min(60.0, int(exact[:6]) / 1000)
    return min(60.0, float(whole[:6])) if whole.isdigit() else 0.0


def _word(response: proto.Response) -> LoadReport | None:
    try:
        return decode_text(response.headers["x-load"])
    except (KeyError, LoadReportError):
        return None
