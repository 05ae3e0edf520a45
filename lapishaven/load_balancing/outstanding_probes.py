"""Probes that wait for their answers, by the number that each answer bears."""

from __future__ import annotations

from random import Random

from lapishaven.load_balancing.choice import Probe

FORGET_AFTER_S = 30.0  # age at which a probe without an answer is forgotten
MAX_ID = 0xFFFFFFFF  # an id is 32 bits on the wire


class OutstandingProbes:
    """Numbers probes, from a start that no stranger can guess, and matches answers to them."""

    def __init__(self, random: Random) -> None:
        self._last_id = random.getrandbits(31)
        self._probes: dict[int, Probe] = {}

    def create(self, now: float, endpoint: str) -> Probe:
        """A probe with a number of its own, whose answer is waited for from now on."""
        self._last_id = (self._last_id + 1) & MAX_ID
        probe = Probe(self._last_id, endpoint, now)
        self._probes[self._last_id] = probe
        return probe

    def pop(self, probe_id: int) -> Probe | None:
        """The probe that an answer belongs to; ``None`` if it was never sent, or is answered or forgotten."""
        return self._probes.pop(probe_id, None)

    def discard_old(self, now: float) -> None:
        """Forget what is hardly going to be answered."""
        for probe in [probe for probe in self._probes.values() if now - probe.sent_at > FORGET_AFTER_S]:
            del self._probes[probe.probe_id]
