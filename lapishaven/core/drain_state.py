"""How far the server's graceful shutdown has come, as the core sees it."""

from __future__ import annotations

from dataclasses import dataclass

FINAL_ANSWER_MARGIN_S = 0.2  # before the kill, everything open is answered: time for the answers to leave a slow host


@dataclass(slots=True)
class DrainState:
    """The notice to shut down and the time of the kill, in seconds on the host's clock."""

    requested_at: float | None = None  # when the notice came; None before
    kill_at: float = float("inf")
    closed: bool = False  # whether every open request was answered, and all that still comes is rejected

    @property
    def final_answers_at(self) -> float:
        """When all that is open is answered at the latest."""
        return self.kill_at - FINAL_ANSWER_MARGIN_S

    def came_too_late(self, arrived_at: float, grace: float) -> bool:
        """Whether a request arrived more than ``grace`` seconds after the notice, and so must not run."""
        return self.requested_at is not None and arrived_at > self.requested_at + grace
