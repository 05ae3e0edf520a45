"""The probes that have not been answered yet, by the id that is repeated in the answer."""

from __future__ import annotations

from random import Random

from lapishaven.load_balancing.choice import Probe

PROBE_LIFETIME_S = 30.0  # an unanswered probe is discarded after this time
MAX_ID = 0xFFFFFFFF  # an id has 32 bits on the wire


class OutstandingProbes:
    """Assigns ids to probes and matches answers to them.

    The first id is random, so that a third party cannot easily guess the id for a forged answer.
    """

    def __init__(self, random: Random) -> None:
        self._last_id = random.getrandbits(31)
        self._probes: dict[int, Probe] = {}

    def create(self, now: float, endpoint: str) -> Probe:
        """Create a probe with a new id, and expect its answer from now on."""
        self._last_id = (self._last_id + 1) & MAX_ID
        probe = Probe(self._last_id, endpoint, now)
        self._probes[self._last_id] = probe
        return probe

    def pop(self, probe_id: int) -> Probe | None:
        """Remove and return the probe with this id; ``None`` if it was never sent, already answered or discarded."""
        return self._probes.pop(probe_id, None)

    def discard_expired(self, now: float) -> None:
        """Discard probes that are unlikely to be answered any more."""
        for probe in [probe for probe in self._probes.values() if now - probe.sent_at > PROBE_LIFETIME_S]:
            del self._probes[probe.probe_id]
