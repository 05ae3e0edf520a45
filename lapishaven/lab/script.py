"""Scripts of troubles: lines of a time and what then happens, for a fleet on sockets or in simulated time.

::

    2.0  kill 20% back 5            a fifth of the servers dies at once and starts again 5 s later, cold
    2.0  kill n1 n3 back 5
    2.0  slow n2 x0.1 for 30        it works at a tenth of its speed
    4.0  deploy 98% batch 16% every 5    rolls over so much of the fleet, so much at a time
    5.0  drain n4                   a notice to leave, then a new process
    1.0  catalog away for 60        1.0 catalog lies empty for 10 (half, garbage)
    3.0  surge x1.5 for 10          more arrivals, where the driver of the load heeds it
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random


class ScriptError(ValueError):
    """One plain line on what is wrong."""


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that happens to some servers, or to the catalog or the load where there are none."""

    at: float
    what: str  # kill, slow, drain, catalog-away, catalog-lies, surge
    servers: tuple[str, ...] = ()
    factor: float = 1.0
    span: float = 0.0  # until it is over, or until the server starts again
    word: str = ""


def _number(word: str, line: str, prefix: str = "") -> float:
    try:
        value = float(word.removeprefix(prefix))
    except ValueError:
        value = -1.0
    if not value >= 0:
        raise ScriptError(f"{word!r} is no number in: {line}")
    return value


def _share(word: str, count: int, line: str) -> int:
    return max(1, round(_number(word.removesuffix("%"), line) / 100 * count))


def _servers(words: Sequence[str], names: Sequence[str], random: Random, line: str) -> tuple[str, ...]:
    if len(words) == 1 and words[0].endswith("%"):
        return tuple(sorted(random.sample(list(names), min(len(names), _share(words[0], len(names), line)))))
    for word in words:
        if word not in names:
            raise ScriptError(f"no server {word!r} in: {line}")
    return tuple(words)


def parse(text: str, names: Sequence[str], seed: int) -> list[Step]:
    """The steps in the order of their times; servers of a share are drawn by the seed."""
    steps: list[Step] = []
    random = Random(seed)
    for raw in text.splitlines():
        line = raw.partition("#")[0].strip()
        if not line:
            continue
        first, *words = line.split()
        at = _number(first, line)
        if not words:
            raise ScriptError(f"nothing happens in: {line}")
        steps += _steps(at, words[0], words[1:], names, random, line)
    return sorted(steps, key=lambda step: step.at)


def _option(words: list[str], name: str, line: str, default: float | None = None) -> float:
    if name not in words:
        if default is None:
            raise ScriptError(f"{name} is missing in: {line}")
        return default
    place = words.index(name)
    if place + 1 >= len(words):
        raise ScriptError(f"{name} has no value in: {line}")
    value = words[place + 1]
    del words[place : place + 2]
    return _number(value.removesuffix("%"), line)


def _steps(at: float, verb: str, words: list[str], names: Sequence[str], random: Random, line: str) -> list[Step]:
    if verb == "kill":
        back = _option(words, "back", line)
        return [Step(at, "kill", _servers(words, names, random, line), span=back)]
    if verb == "drain":
        return [Step(at, "drain", _servers(words, names, random, line))]
    if verb == "slow":
        span = _option(words, "for", line)
        factors = [word for word in words if word.startswith("x")]
        if len(factors) != 1:
            raise ScriptError(f"one factor like x0.1 is needed in: {line}")
        words.remove(factors[0])
        return [Step(at, "slow", _servers(words, names, random, line), _number(factors[0], line, "x"), span)]
    if verb == "deploy":
        batch = max(1, round(_option(words, "batch", line) / 100 * len(names)))
        every = _option(words, "every", line)
        order = list(_servers(words, names, random, line))
        random.shuffle(order)
        return [
            Step(at + n // batch * every, "drain", tuple(order[n : n + batch])) for n in range(0, len(order), batch)
        ]
    if verb == "surge" and words and words[0].startswith("x"):
        return [Step(at, "surge", (), _number(words[0], line, "x"), _option(words, "for", line))]
    if verb == "catalog" and words and words[0] in ("away", "lies"):
        span = _option(words, "for", line)
        word = words[1] if len(words) > 1 else ""
        if words[0] == "lies" and word not in ("empty", "half", "garbage"):
            raise ScriptError(f"a lie is empty, half or garbage in: {line}")
        return [Step(at, f"catalog-{words[0]}", (), 1.0, span, word)]
    raise ScriptError(f"not understood: {line}")
