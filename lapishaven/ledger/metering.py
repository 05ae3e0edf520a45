"""What an effect is charged: whole words, by the meter that the operator picks for each class. Pure."""

from __future__ import annotations

from collections.abc import Callable, Mapping

Meter = Callable[[bytes, bytes], int]  # body, result


def words(data: bytes) -> int:
    """Words, parted by white space; bytes that are no text count as they stand."""
    return len(data.split())


METERS: Mapping[str, Meter] = {
    "body": lambda body, result: words(body),
    "result": lambda body, result: words(result),
    "each": lambda body, result: 1,
}
