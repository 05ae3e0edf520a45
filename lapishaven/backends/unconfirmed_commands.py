"""Commands on the interpreter's link of which it is not proven that the interpreter read them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

LOSS_WINDOW_S = 0.1  # before a break; a command written in it counts as uncertain even if a later one was answered


@dataclass(slots=True)
class Command:
    """A command about a run."""

    attempt_id: str  # the attempt id
    data: bytes  # the line as it is sent
    starts: bool = False  # whether it starts the run
    once: bool = False  # whether it starts what must not be started twice, or probes whether that runs
    end: int = 0  # where it ends, in bytes written on its link
    at: float = 0.0  # when it was written, in seconds on the loop's clock


@dataclass(frozen=True, slots=True)
class UnconfirmedAtEnd:
    """What became of the unconfirmed commands of a link that ended."""

    unsent: list[Command]  # not every byte was taken by the kernel, so they never ran
    uncertain: list[Command]  # they may have been read, or lost


class UnconfirmedCommands:
    """The commands on one link, in their order; answers to questions prove that what was sent before was read."""

    def __init__(self) -> None:
        self._commands: deque[Command] = deque()
        self._question_ends: dict[str, int] = {}  # by tag, where the question ends, in bytes written on the link
        self._written = 0  # bytes written on the link
        self._proven = 0  # bytes of them that were proven to be read

    def add(self, now: float, command: Command) -> None:
        """Note a command that is written now."""
        self._written += len(command.data)
        command.end = self._written
        command.at = now
        self._commands.append(command)

    def add_question(self, tag: str, size: int) -> None:
        """Note a question of ``size`` bytes, whose answer proves that all before it was read."""
        self._written += size
        self._question_ends[tag] = self._written

    def answered(self, now: float, tag: str) -> None:
        """A question was answered: drop the commands that this confirms, except those within ``LOSS_WINDOW_S``."""
        self._proven = max(self._proven, self._question_ends.get(tag, 0))
        self._question_ends = {tag: end for tag, end in self._question_ends.items() if end > self._proven}
        while self._commands and self._is_confirmed(now, self._commands[0]):
            self._commands.popleft()

    def _is_confirmed(self, now: float, command: Command) -> bool:
        return command.end <= self._proven and command.at < now - LOSS_WINDOW_S

    def settle(self, sent: int) -> UnconfirmedAtEnd:
        """The link has ended after the kernel took ``sent`` bytes: what is unconfirmed; then start over empty."""
        unsent = [command for command in self._commands if command.end > sent]
        uncertain = [command for command in self._commands if command.end <= sent]
        self._commands.clear()
        self._question_ends.clear()
        self._written = 0
        self._proven = 0
        return UnconfirmedAtEnd(unsent, uncertain)
