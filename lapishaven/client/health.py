"""What each server's answers say of it: advice to stay away, and the ejection of outliers. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lapishaven.client import settings

WINDOW = 20  # tries over which the share of failures counts


class Standing(Enum):
    IN = "in"
    OUT = "out"  # left out until a time
    PROBING = "probing"  # that time came; it was asked how it is
    TRIAL = "trial"  # one request at a time, until one succeeds


@dataclass(slots=True)
class ServerHealth:
    """One server. A refusal is an answer like any other: it keeps the server away for its span, no longer."""

    standing: Standing = Standing.IN
    away: float = float("-inf")  # advice: nothing goes there before this
    until: float = 0.0  # of OUT
    outs: int = 0  # ejections since it last stood well
    row: int = 0  # failures in a row
    recent: int = 0  # the last tries as bits, 1 for a failure
    seen: int = 0  # how many of them there are
    trial_open: bool = False

    def takes(self, now: float) -> bool:
        """Whether a request may go there."""
        if self.away > now:
            return False
        return self.standing is Standing.IN or (self.standing is Standing.TRIAL and not self.trial_open)

    def opens(self, now: float) -> float:
        """When a request may go there, as far as is known."""
        return max(self.away, self.until if self.standing is Standing.OUT else now, now)


class Outliers:
    """Leaves out what fails more than the others, never more than a share of all servers.

    Past the cap a failing server stays selectable: where most fail, the fault is not theirs, and to send
    everything to the few that are left would bring these down.
    """

    def __init__(self, rules: settings.Health) -> None:
        self.rules = rules
        self.out: set[str] = set()

    def may_eject(self, servers: int) -> bool:
        """Whether one more of so many servers may be left out. Of two or more one always may."""
        return servers > 1 and len(self.out) + 1 <= max(1.0, self.rules.out_share * servers)

    def succeeded(self, name: str, health: ServerHealth) -> bool:
        """Note a served try; true if the server comes back in with it."""
        health.row = 0
        self._note(health, 0)
        if health.standing is Standing.TRIAL:
            health.standing, health.trial_open = Standing.IN, False
            health.outs = max(0, health.outs - 1)
            health.recent = health.seen = 0
            self.out.discard(name)
            return True
        if health.outs and health.seen >= WINDOW and not health.recent:
            health.outs = 0
        return False

    def answered(self, health: ServerHealth) -> None:
        """It refused or failed in an orderly way: no success, but alive."""
        health.trial_open = False

    def failed(self, now: float, name: str, health: ServerHealth, servers: int) -> bool:
        """Note a failed try; true if the server is left out from now on."""
        health.row += 1
        self._note(health, 1)
        if health.standing is Standing.TRIAL or health.standing is Standing.PROBING:
            self._leave_out(now, name, health)
            return True
        share = health.recent.bit_count() / health.seen
        bad = health.row >= self.rules.failures or (health.seen >= WINDOW and share >= self.rules.error_share)
        if health.standing is Standing.IN and bad and self.may_eject(servers):
            self._leave_out(now, name, health)
            return True
        return False

    def silent(self, now: float, name: str, health: ServerHealth, servers: int) -> bool:
        """It said nothing, not even to a probe: that weighs as much as a row of failures."""
        health.row = self.rules.failures
        if health.standing is not Standing.OUT and (name in self.out or self.may_eject(servers)):
            self._leave_out(now, name, health)
            return True
        return False

    def due(self, now: float, health: ServerHealth) -> bool:
        """Whether its time out is over; it is then to be probed, or tried at once where there are no probes."""
        if health.standing is not Standing.OUT or health.until > now:
            return False
        health.standing = Standing.PROBING if self.rules.probes else Standing.TRIAL
        health.trial_open = False
        return True

    def probed(self, now: float, name: str, health: ServerHealth, good: bool) -> None:
        """The answer to a probe on the way back."""
        if health.standing is not Standing.PROBING:
            return
        if good:
            health.standing, health.trial_open = Standing.TRIAL, False
        else:
            self._leave_out(now, name, health)

    def forget(self, name: str) -> None:
        self.out.discard(name)

    def _leave_out(self, now: float, name: str, health: ServerHealth) -> None:
        span = min(self.rules.out_s * 2 ** min(health.outs, 16), self.rules.out_max_s)
        health.standing, health.until, health.trial_open = Standing.OUT, now + span, False
        health.outs += 1
        health.row = health.recent = health.seen = 0
        self.out.add(name)

    def _note(self, health: ServerHealth, bad: int) -> None:
        health.recent = (health.recent << 1 | bad) & ((1 << WINDOW) - 1)
        health.seen = min(health.seen + 1, WINDOW)
