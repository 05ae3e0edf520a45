"""Lets single requests pass estimates of run times that have no fresh sample.

Such an estimate is corrected by completed runs alone. If it rejects every request of a class, no run completes, and it
would reject them for good, long after the instance is fast again. The rule for all estimates of run times: one that
had no sample for ``FRESH_S`` seconds no longer rejects every request, but lets one at a time through as a probe. This
is the half-open state of a circuit breaker (M. Nygard, *Release It!*).

A probe may itself be too slow to be of use. The pause before the next one is therefore as long as the last probe took,
so that probes of one class keep at most half a core busy, and at most ``MAX_PAUSE_S``, so that a class is served again
soon after a slow span.
"""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.admission.request import TrackedRequest
from lapishaven.admission.settings import Settings

FRESH_S = 2.0  # age of the latest sample up to which an estimate may reject every request, and the shortest pause
MAX_PAUSE_S = 8.0  # longest pause between two probes; also after which a probe that has not ended is not waited for


@dataclass(slots=True)
class _ClassProbes:
    """The probes of one class. Times are seconds on the host's clock."""

    sampled_at: float = float("-inf")
    next_at: float = float("-inf")
    request_id: int | None = None
    begun_at: float = 0.0


class EstimateProbes:
    """Decides by class which requests pass estimates that would reject them."""

    __slots__ = ("_by_class", "begun")

    def __init__(self, settings: Settings) -> None:
        self._by_class: list[_ClassProbes] = []
        self.begun = 0
        """Number of probes so far."""
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Add the classes that are new."""
        added = len(settings.classes) - len(self._by_class)
        self._by_class += [_ClassProbes() for _ in range(added)]

    def record_sample(self, class_index: int, now: float) -> None:
        """Record that a run of the class completed and was measured."""
        self._by_class[class_index].sampled_at = now

    def passes(self, request: TrackedRequest, now: float) -> bool:
        """Whether a request that an estimate would reject is a probe, or becomes one now."""
        if request.is_probe:
            return True
        probes = self._by_class[request.class_index]
        if now - probes.sampled_at < FRESH_S or now < probes.next_at:
            return False
        probes.request_id = request.request_id
        probes.begun_at = now
        probes.next_at = now + MAX_PAUSE_S
        request.is_probe = True
        self.begun += 1
        return True

    def end(self, request: TrackedRequest, now: float) -> None:
        """Record that a request has ended, whether it ran or not."""
        probes = self._by_class[request.class_index]
        if not request.is_probe or probes.request_id != request.request_id:
            return
        probes.request_id = None
        probes.next_at = now + min(MAX_PAUSE_S, max(FRESH_S, now - probes.begun_at))
