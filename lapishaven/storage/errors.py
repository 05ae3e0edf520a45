"""Errors of the store, each with a one-line message, and records of damage."""

from __future__ import annotations

from dataclasses import dataclass


class StoreError(Exception):
    """Base class of the store's errors."""


class StoreFullError(StoreError):
    """The disk is full or a size limit is reached. Nothing was written.

    ``retry_after_s``: seconds after which there may be capacity again, or ``None`` if that is unknown.
    """

    def __init__(self, text: str, retry_after_s: float | None = None) -> None:
        super().__init__(text)
        self.retry_after_s = retry_after_s


class StoreLockedError(StoreError):
    """Another process has the store open."""


class StoreWriteError(StoreError):
    """A write or its fsync failed. Changes that were not acknowledged are not stored."""


@dataclass(frozen=True, slots=True)
class Damage:
    """A range of bytes in a segment that are no valid records; they are never returned."""

    segment: int
    offset: int
    length: int
    reason: str
