"""The state of the server's graceful shutdown, as the core sees it."""

from __future__ import annotations

from dataclasses import dataclass

# Open requests are answered this long before the kill, so that a slow host still has time to send the answers.
FINAL_ANSWER_MARGIN_S = 0.2


@dataclass(slots=True)
class DrainState:
    """The times of the shutdown request and of the kill, in seconds on the host's clock."""

    requested_at: float | None = None  # None while no shutdown has been requested
    kill_at: float = float("inf")
    closed: bool = False  # whether every open request was answered and all further submissions are rejected

    @property
    def final_answers_at(self) -> float:
        """The latest time at which open requests are answered."""
        return self.kill_at - FINAL_ANSWER_MARGIN_S

    def arrived_after_grace(self, arrived_at: float, grace: float) -> bool:
        """Whether a request arrived more than ``grace`` seconds after the shutdown request, and so must not run."""
        return self.requested_at is not None and arrived_at > self.requested_at + grace
