"""What can go wrong, each in one plain line."""

from __future__ import annotations

from dataclasses import dataclass


class StoreError(Exception):
    """The base of all errors of the store."""


class StoreFullError(StoreError):
    """The disk, or a bound of bytes, is full. Nothing was written.

    ``frees_in``: seconds after which there may be capacity again, if that is known.
    """

    def __init__(self, text: str, frees_in: float | None = None) -> None:
        super().__init__(text)
        self.frees_in = frees_in


class StoreLockedError(StoreError):
    """Another process has the store open."""


class StoreWriteError(StoreError):
    """A write or its fsync failed; what was not acknowledged is not stored."""


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes that are no valid records; they are never served."""

    segment: int
    offset: int
    length: int
    reason: str
