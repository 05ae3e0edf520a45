"""What can go wrong, each in one plain line."""

from __future__ import annotations

from dataclasses import dataclass


class StoreError(Exception):
    """Anything that the store says no to."""


class StoreFull(StoreError):
    """The disk, or the bound of bytes, is reached. Nothing was written. ``frees_in``: seconds until the next expiry."""

    def __init__(self, text: str, frees_in: float | None = None) -> None:
        super().__init__(text)
        self.frees_in = frees_in


class StoreLocked(StoreError):
    """Another process writes here."""


class StoreBroken(StoreError):
    """A write or its fsync failed; what was not acknowledged is not there."""


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes that cannot be read as records; they are never served."""

    segment: int
    offset: int
    length: int
    reason: str
