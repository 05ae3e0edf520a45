"""Meters: how many words an effect is charged. The operator picks a meter for each class."""

from __future__ import annotations

from collections.abc import Callable, Mapping

Meter = Callable[[bytes, bytes], int]  # words charged for a request's body and its result


def count_words(data: bytes) -> int:
    """Number of words, separated by white space; the data need not be valid text."""
    return len(data.split())


# Meters by their name in the settings.
METERS: Mapping[str, Meter] = {
    "body": lambda body, result: count_words(body),
    "result": lambda body, result: count_words(result),
    "each": lambda body, result: 1,
}
