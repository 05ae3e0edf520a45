"""What an effect is charged: whole words, by the meter that the operator picks for each class. Pure."""

from __future__ import annotations

from collections.abc import Callable, Mapping

Meter = Callable[[bytes, bytes], int]  # of a request's body and its result


def count_words(data: bytes) -> int:
    """Words, separated by white space; the data need not be text."""
    return len(data.split())


# By name in the settings.
METERS: Mapping[str, Meter] = {
    "body": lambda body, result: count_words(body),
    "result": lambda body, result: count_words(result),
    "each": lambda body, result: 1,
}
