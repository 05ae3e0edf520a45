"""A member of the fleet: what it asks of the coordinator, when, and what it may act on. Pure.

``next(now)`` says what to ask; ``done`` is told what became of it. Nothing here waits or reads a clock. One session
(a lease, by the table in ``lease``) carries all shards of the member, so what the coordinator is asked does not grow
with the shards. A session that ended takes all of them along, and the member joins again as a newcomer.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from lapishaven.ownership.lease import Event, Lease, State
from lapishaven.ownership.model import Joined, MemberRecord, Shard, Standing, View
from lapishaven.ownership.placement import Part, plan


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in seconds. ``ttl`` is the lease's time, ``margin`` what the holder takes off it for clocks that drift,
    ``settle`` how long a newcomer is given no work, ``flap_limit`` the longest that grows to for one that flaps."""

    ttl: float = 3.0
    margin: float = 0.3
    settle: float = 0.5
    flap_limit: float = 30.0
    calm: float = 60.0  # as a member, after which its earlier joins are forgotten
    poll: float = 0.3  # between two looks for news, with up to ``poll_members`` members; in proportion with more
    poll_members: int = 50
    quick: float = 0.04  # between looks while something is being handed to this member
    hand_wait: float = 0.8  # a leaving member goes on acting this long, so that its heirs look out
    spread: float = 1.0  # over which claims and joins after an outage are spread
    claims: int = 32  # shards asked for between two renewals


# ---- What may be asked of the coordinator
@dataclass(frozen=True, slots=True)
class Join:
    card: MemberRecord


@dataclass(frozen=True, slots=True)
class Renew:
    session: int


@dataclass(frozen=True, slots=True)
class ReadState:
    pass


@dataclass(frozen=True, slots=True)
class ReadRevision:
    pass


@dataclass(frozen=True, slots=True)
class Announce:
    session: int
    card: MemberRecord
    calm: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    session: int
    shard: Shard


@dataclass(frozen=True, slots=True)
class Transfer:
    session: int
    shard: Shard
    token: int
    to: int | None


@dataclass(frozen=True, slots=True)
class Deregister:
    session: int


Op = Join | Renew | ReadRevision | ReadState | Announce | Claim | Transfer | Deregister


# ---- What became of it
@dataclass(frozen=True, slots=True)
class Completed:
    """An answer: a session, revision or token, a view, or yes or no (``None`` for nothing more to say)."""

    value: int | bool | View | Joined | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """No answer: it may have been done, and may still be."""


@dataclass(frozen=True, slots=True)
class SessionExpired:
    """The session is over."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """Another one has it."""


Outcome = Completed | Unknown | SessionExpired | Rejected


@dataclass(frozen=True, slots=True)
class Notice:
    """Something that operators and duties are told: ``joined``, ``gained``, ``lost``, ``doubt``, ``handed``, ..."""

    what: str
    shard: Shard | None = None
    token: int = 0
    why: str = ""


class Member:
    """``card.start`` has to be new for each start of a process."""

    def __init__(self, card: MemberRecord, shards: Sequence[Shard], rules: Rules, random: Random) -> None:
        self.card, self.shards, self.rules, self.random = card, tuple(shards), rules, random
        self.lease = Lease(rules.ttl, rules.margin)
        self.session: int | None = None
        self.view: View | None = None
        self.held: dict[Shard, int] = {}  # tokens
        self.notices: list[Notice] = []
        self.leaving = False
        self.left = False
        self._busy: set[Shard] = set()  # shards with an act under way: handed over after it
        self._shed: dict[Shard, float] = {}  # given back by choice: not claimed again before that time
        self._joined_at = self._leave_at = 0.0
        self._settle = rules.settle
        self._quiet_to = 0.0  # nothing is asked before
        self._calm = self._asked = False
        self._weight, self._light_to = card.weight, 0.0  # its full weight, and until when it goes by half of it
        self._renew_at = self._look_at = self._peek_at = 0.0
        self._revision = -1
        self._stale = True  # the view is older than something that we know of
        self._want: list[Shard] = []  # to claim, as planned from the view
        self._give: list[tuple[Shard, int | None]] = []  # to hand over, and to whom
        self._expect = False  # something is about to be handed to us
        self._expected_at: float | None = None  # since when
        self._budget = rules.claims

    # ---- What duties ask
    def token(self, now: float, shard: Shard) -> int | None:
        """The token to act with on a shard, or None where we may not (any more)."""
        return self.held.get(shard) if self.lease.usable(now) else None

    def begin(self, shard: Shard) -> None:
        """An act on the shard is under way; it is not handed over before ``end``."""
        self._busy.add(shard)

    def end(self, shard: Shard) -> None:
        self._busy.discard(shard)

    def refused(self, now: float, shard: Shard, token: int, in_force: int) -> None:
        """A receiver refused our act as an older owner's: we were away. All else that we hold is given up too."""
        self._say("refused", shard, token, f"{in_force} is in force")
        if self.held.get(shard) == token:
            self._lose(now, "a newer owner has acted")

    def shed(self, now: float, shard: Shard, span: float) -> None:
        """Give a shard back by choice (overload): hand it to another, and say for ``span`` seconds that this member can
        do half of its part, so that none comes back in its place."""
        if shard in self.held:
            self._shed[shard] = self._light_to = now + span
            self._give.append((shard, self._heirs().get(shard)))

    def lighten(self, now: float, span: float) -> None:
        """Say, or go on to say, for ``span`` seconds more that this member can do half of its part: only one that has
        given something back does."""
        if now < self._light_to:
            self._light_to = now + span
            self._shed = {shard: self._light_to for shard in self._shed}

    def leave(self, now: float) -> None:
        """Hand everything over and go."""
        if not self.leaving:
            self.leaving = True
            self._leave_at = now + self.rules.hand_wait
            self._say("leaving")

    # ---- Time
    def tick(self, now: float) -> None:
        """Own clocks: the lease that ended, the newcomer that has settled."""
        if self.lease.expire(now) and self.session is not None:
            self._lost_all("its time is over")
            self._again(now)

    def next_at(self) -> float:
        """When ``next`` may have something, at the latest."""
        if self.left:
            return float("inf")
        whens = [self._quiet_to, self._look_at] if self.session is None else [self._renew_at, self._peek_at]
        if self._stale or self._expect:
            whens.append(self._look_at)
        if self.lease.until > float("-inf"):
            whens.append(self.lease.until)
        if self.session is not None and self.card.standing is Standing.JOINING:
            whens.append(self._joined_at + self._settle)
        if self.leaving:
            whens.append(self._leave_at)
        return min(whens)

    def next(self, now: float) -> Op | None:
        """What to ask of the coordinator now, one thing at a time; None: nothing yet."""
        self.tick(now)
        if self.left or now < self._quiet_to:
            return None
        if self.session is None:
            return self._enter(now)
        if now >= self._renew_at or self.lease.state is State.DOUBTFUL:
            return self._renewal(now)
        if self.leaving:
            return self._parting(now)
        if self.card.standing is Standing.JOINING and now >= self._joined_at + self._settle:
            return Announce(self.session, replace(self.card, standing=Standing.SERVING))
        weight = self._weight / 2 if now < self._light_to else self._weight
        if weight != self.card.weight and not self._give:
            return Announce(self.session, replace(self.card, weight=weight))
        if not self._calm and now >= self._joined_at + self.rules.calm:
            self._calm = True
            return Announce(self.session, self.card, calm=True)
        if now >= self._look_at and (self._stale or self._expect):
            return ReadState()
        return self._work(now) or self._news(now)

    def _news(self, now: float) -> Op | None:
        if now < self._peek_at:
            return None
        self._peek_at = now + self._pause()
        return ReadRevision()

    def _enter(self, now: float) -> Op | None:
        if self.leaving:
            self.left = True
            return None
        if self.lease.state is State.DOUBTFUL:
            return ReadState()  # an acquisition without answer is read back
        if self.lease.state is State.ASKING:
            return None
        if self._asked:
            # Another start at each attempt: one that comes late must not be read back as this one.
            start = f"{self.card.start.partition('+')[0]}+{self.random.getrandbits(32):08x}"
            self.card = replace(self.card, start=start)
        self._asked = True
        self.lease.ask(now)
        return Join(self.card)

    def _renewal(self, now: float) -> Op:
        assert self.session is not None
        if self.lease.state is State.DOUBTFUL:
            # A renewal without answer: asking once more reads back and renews in one.
            self.lease.step(Event.OURS)
        self.lease.renew(now)
        self._renew_at = now + self.rules.ttl / 3 * self.random.uniform(0.85, 1.0)
        self._budget = self.rules.claims
        return Renew(self.session)

    def _work(self, now: float) -> Op | None:
        assert self.session is not None
        while self._give:
            shard, to = self._give[0]
            if shard in self._busy:
                break
            self._give.pop(0)
            if (token := self.held.pop(shard, None)) is not None:
                self._say("handed", shard, token)
                return Transfer(self.session, shard, token, to)
        while self._want and self._budget > 0 and self.card.standing is Standing.SERVING:
            shard = self._want.pop(0)
            if shard not in self.held and self._shed.get(shard, now) <= now:
                self._budget -= 1
                return Claim(self.session, shard)
        return None

    def _parting(self, now: float) -> Op | None:
        assert self.session is not None
        if self.card.standing is not Standing.LEAVING:
            return Announce(self.session, replace(self.card, standing=Standing.LEAVING))
        if now < self._leave_at:
            return ReadState() if now >= self._look_at and self._stale else self._news(now)
        heirs = self._heirs()
        for shard in sorted(self.held):
            if shard not in self._busy:
                token = self.held.pop(shard)
                self._say("handed", shard, token)
                return Transfer(self.session, shard, token, heirs.get(shard))
        if self.held and self.lease.usable(now):
            return None  # an act is under way
        return Deregister(self.session)

    # ---- Answers
    def done(self, now: float, op: Op, outcome: Outcome) -> None:
        """What became of an operation, at the time at which that was known."""
        if isinstance(op, Join):
            self._entered(now, outcome)
        elif isinstance(op, Renew):
            self._renewed(now, op, outcome)
        elif isinstance(op, ReadState):
            self._looked(now, outcome)
        elif isinstance(op, ReadRevision):
            self._stale |= isinstance(outcome, Completed) and outcome.value != self._revision
        elif isinstance(outcome, SessionExpired):
            self._lose(now, "the session is over")
        elif isinstance(op, Claim):
            self._claimed(op, outcome)
        elif isinstance(op, Announce):
            self._stale = True
            if isinstance(outcome, Completed):
                self.card = op.card
                self._look_at = now
        elif isinstance(op, Transfer):
            self._stale = True
        elif isinstance(op, Deregister):
            self.left, self.session = True, None
            self._lost_all("it left")

    def _looked(self, now: float, outcome: Outcome) -> None:
        self._look_at = now + (self.rules.quick if self._expect else self._pause())
        if isinstance(outcome, Completed) and isinstance(outcome.value, View):
            self._saw(now, outcome.value)
        elif self.session is None:
            self._quiet_to = now + self._pause()

    def _entered(self, now: float, outcome: Outcome) -> None:
        if isinstance(outcome, Completed) and isinstance(outcome.value, Joined):
            self.lease.answered(Event.GRANTED)
            self._in(now, outcome.value.session, outcome.value.joins)
            return
        if isinstance(outcome, Unknown):
            self.lease.step(Event.SILENT)
            self._say("doubt", why="joining got no answer")
        else:
            self.lease.step(Event.DENIED)
            self._say("name taken", why=self.card.name)
        self._quiet_to = now + self._pause()

    def _renewed(self, now: float, op: Renew, outcome: Outcome) -> None:
        if op.session != self.session:
            return  # of an earlier session
        if isinstance(outcome, Completed):
            if self.lease.state is State.RENEWING:
                self.lease.answered(Event.RENEWED)
            self._stale |= outcome.value != self._revision
            self.tick(now)  # the answer may have come after its time
        elif isinstance(outcome, Unknown):
            if self.lease.state is State.RENEWING:
                self.lease.step(Event.SILENT)
                self._say("doubt", why="a renewal got no answer")
            self._quiet_to = now + min(0.2, self.rules.ttl / 10) * self.random.uniform(0.5, 1.5)
        else:
            self._lose(now, "the session is over")

    def _pause(self) -> float:
        share = len(self.view.members) / self.rules.poll_members if self.view is not None else 1.0
        return self.rules.poll * max(1.0, share) * self.random.uniform(0.7, 1.3)

    def _in(self, now: float, session: int, joins: int) -> None:
        self.session = session
        self.card = replace(self.card, standing=Standing.JOINING)
        self._joined_at = now
        self._settle = min(self.rules.flap_limit, self.rules.settle * 2.0 ** min(16, max(0, joins - 3)))
        self._calm = False
        self._renew_at = now + self.rules.ttl / 3 * self.random.uniform(0.3, 1.0)
        self._stale, self._look_at = True, now
        self._say("joined", why=f"session {session}")

    def _saw(self, now: float, view: View) -> None:
        me = view.named(self.card.name)
        mine = me is not None and me.card.start == self.card.start
        if self.session is None:
            if self.lease.state is State.DOUBTFUL:
                if mine and me is not None:
                    self.lease.answered(Event.OURS)
                    if not self.lease.expire(now):
                        self._in(now, me.session, 1)
                    else:
                        self._again(now)
                else:
                    # It may still come, late: then its name is taken until its time is over, and it is ours to read.
                    self.lease.step(Event.NOT_OURS)
            return
        if me is None or not mine or me.session != self.session:
            self._lose(now, "the coordinator does not list it")
            return
        self.view, self._revision, self._stale = view, view.revision, False
        ours = {shard: owned.token for shard, owned in view.owners.items() if owned.session == self.session}
        for shard in list(self.held):
            if ours.get(shard) != self.held[shard]:
                self._say("lost", shard, self.held.pop(shard), "the coordinator names another owner")
        for shard, token in ours.items():
            if shard not in self.held:
                self.held[shard] = token
                self._say("gained", shard, token)
        self._plan(now, view)

    def _parts(self, view: View) -> list[Part]:
        return [Part(s.card.name, s.card.weight) for s in view.members if s.card.standing is Standing.SERVING]

    def _plan(self, now: float, view: View) -> None:
        """What to claim and what to give, from the view; the same at every member that has the same view."""
        self._shed = {shard: until for shard, until in self._shed.items() if until > now}
        names = {seen.session: seen.card.name for seen in view.members}
        sessions = {seen.card.name: seen.session for seen in view.members}
        current = {shard: names.get(owned.session, "") for shard, owned in view.owners.items()}
        placed = plan(self.shards, self._parts(view), current)
        me = self.card.name
        self._want = [s for s, name in placed.items() if name == me and s not in view.owners and s not in self._shed]
        self.random.shuffle(self._want)
        self._give = [
            (shard, sessions.get(placed[shard]))
            for shard in sorted(self.held)
            if placed.get(shard, me) != me and not self.leaving
        ]
        if any(shard in self.held for shard in self._shed):
            heirs = self._heirs()
            self._give = [(s, heirs.get(s)) for s in self._shed if s in self.held] + self._give
        expected = any(
            name == me and shard in view.owners and view.owners[shard].session != self.session
            for shard, name in placed.items()
        )
        self._expected_at = (now if self._expected_at is None else self._expected_at) if expected else None
        # Quick looks for no longer than a lease: operators may hold a shard for hours, the dead hand over nothing.
        self._expect = self._expected_at is not None and now - self._expected_at < self.rules.ttl
        self._look_at = now + self.rules.quick if self._expect else self._look_at

    def _heirs(self) -> dict[Shard, int]:
        if self.view is None:
            return {}
        names = {seen.session: seen.card.name for seen in self.view.members}
        sessions = {seen.card.name: seen.session for seen in self.view.members}
        current = {shard: names.get(owned.session, "") for shard, owned in self.view.owners.items()}
        parts = [part for part in self._parts(self.view) if part.name != self.card.name]
        return {shard: sessions[name] for shard, name in plan(self.shards, parts, current).items()}

    def _claimed(self, op: Claim, outcome: Outcome) -> None:
        if isinstance(outcome, Completed):
            assert isinstance(outcome.value, int)
            self.held[op.shard] = outcome.value
            self._say("gained", op.shard, outcome.value)
        elif isinstance(outcome, Unknown):
            self._stale = True
            self._say("doubt", op.shard, why="a claim got no answer")
        else:
            self._stale = True

    # ---- Losing
    def _lose(self, now: float, why: str) -> None:
        if self.lease.state in (State.HELD, State.RENEWING, State.DOUBTFUL):
            self.lease.step(Event.NOT_OURS)
        self._lost_all(why)
        self._again(now)

    def _lost_all(self, why: str) -> None:
        for shard, token in self.held.items():
            self._say("lost", shard, token, why)
        self.held.clear()
        self._want.clear()
        self._give.clear()

    def _again(self, now: float) -> None:
        """Join anew, as another start: nothing of the old session counts, and all do not come at once."""
        if self.session is not None:
            self._say("out", why=f"session {self.session}")
        self.session, self.view, self._revision = None, None, -1
        self.card = replace(self.card, standing=Standing.JOINING)
        self._quiet_to = now + self.random.uniform(0.0, self.rules.spread)

    def _say(self, what: str, shard: Shard | None = None, token: int = 0, why: str = "") -> None:
        self.notices.append(Notice(what, shard, token, why))
