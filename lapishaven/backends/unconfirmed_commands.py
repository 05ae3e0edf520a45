"""Tracks commands sent to the interpreter that it is not yet proven to have read."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# A command written this shortly before a break counts as uncertain even if a later query was answered.
LOSS_WINDOW_S = 0.1


@dataclass(slots=True)
class Command:
    """A command to the interpreter about one attempt."""

    attempt_id: str
    data: bytes  # as encoded on the wire
    starts_run: bool = False  # whether it starts the run
    at_most_once: bool = False  # whether it starts, or pauses as a probe, a run that must not be started twice
    end_offset: int = 0  # offset of its end in the bytes written on the link
    written_at: float = 0.0  # loop time of the write


@dataclass(frozen=True, slots=True)
class UnconfirmedAtEnd:
    """The unconfirmed commands of a link that ended."""

    unsent: list[Command]  # the kernel did not accept all their bytes, so they cannot have been executed
    uncertain: list[Command]  # may have been read by the interpreter, or lost


class UnconfirmedCommands:
    """The commands on one link, in order; the answer to a query proves that all sent before it was read."""

    def __init__(self) -> None:
        self._commands: deque[Command] = deque()
        self._query_end_offsets: dict[str, int] = {}  # offset of each query's end, by tag
        self._written_bytes = 0  # bytes written on the link
        self._confirmed_bytes = 0  # how many of them the interpreter is proven to have read

    def add(self, now: float, command: Command) -> None:
        """Record a command that is written now."""
        self._written_bytes += len(command.data)
        command.end_offset = self._written_bytes
        command.written_at = now
        self._commands.append(command)

    def add_query(self, tag: str, size: int) -> None:
        """Record a query of ``size`` bytes that is written now."""
        self._written_bytes += size
        self._query_end_offsets[tag] = self._written_bytes

    def answered(self, now: float, tag: str) -> None:
        """Handle the answer to a query: drop the commands it confirms, except those within ``LOSS_WINDOW_S``."""
        self._confirmed_bytes = max(self._confirmed_bytes, self._query_end_offsets.get(tag, 0))
        self._query_end_offsets = {
            tag: offset for tag, offset in self._query_end_offsets.items() if offset > self._confirmed_bytes
        }
        while self._commands and self._is_confirmed(now, self._commands[0]):
            self._commands.popleft()

    def _is_confirmed(self, now: float, command: Command) -> bool:
        return command.end_offset <= self._confirmed_bytes and command.written_at < now - LOSS_WINDOW_S

    def take_unconfirmed(self, sent_bytes: int) -> UnconfirmedAtEnd:
        """Return the unconfirmed commands of a link that ended after ``sent_bytes``, and reset for the next link."""
        unsent = [command for command in self._commands if command.end_offset > sent_bytes]
        uncertain = [command for command in self._commands if command.end_offset <= sent_bytes]
        self._commands.clear()
        self._query_end_offsets.clear()
        self._written_bytes = 0
        self._confirmed_bytes = 0
        return UnconfirmedAtEnd(unsent, uncertain)
