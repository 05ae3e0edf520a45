"""Fault scripts for a fleet, on sockets or in simulated time: each line has a time in seconds and a fault.

::

    2.0  kill 20% back 5            kill a fifth of the servers; they restart cold 5 s later
    2.0  kill n1 n3 back 5
    2.0  slow n2 x0.1 for 30        run at a tenth of the speed for 30 s
    4.0  deploy 98% batch 16% every 5    rolling restart: drain 16% of the fleet every 5 s
    5.0  drain n4                   graceful shutdown, then a new process
    1.0  catalog away for 60        the catalog refuses connections
    1.0  catalog lies empty for 10  the catalog sends wrong lists: empty, half or garbage
    3.0  surge x1.5 for 10          multiply the arrival rate, if the load generator supports it
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random


class ScriptError(ValueError):
    """A script is invalid. The text is one line that names the fault and the script's line."""


@dataclass(frozen=True, slots=True)
class Step:
    """One fault, on ``servers``, or on the catalog or the load if that is empty.

    ``at``: seconds from the start of the script. ``what``: kill, slow, drain, catalog-away, catalog-lies or surge.
    ``factor``: of the speed or the arrival rate. ``duration_s``: until the fault ends, or until the server restarts.
    ``variant``: of catalog-lies: empty, half or garbage.
    """

    at: float
    what: str
    servers: tuple[str, ...] = ()
    factor: float = 1.0
    duration_s: float = 0.0
    variant: str = ""


def _number(word: str, line: str, prefix: str = "") -> float:
    try:
        value = float(word.removeprefix(prefix))
    except ValueError:
        value = -1.0
    if not value >= 0:
        raise ScriptError(f"fault script: {word!r} is not a number of 0 or more in: {line}")
    return value


def _share(word: str, count: int, line: str) -> int:
    return max(1, round(_number(word.removesuffix("%"), line) / 100 * count))


def _servers(words: Sequence[str], names: Sequence[str], random: Random, line: str) -> tuple[str, ...]:
    if len(words) == 1 and words[0].endswith("%"):
        return tuple(sorted(random.sample(list(names), min(len(names), _share(words[0], len(names), line)))))
    for word in words:
        if word not in names:
            raise ScriptError(f"fault script: unknown server {word!r} in: {line}")
    return tuple(words)


def parse(text: str, names: Sequence[str], seed: int) -> list[Step]:
    """Parse a script into steps in time order. Servers given as a percentage are drawn with the seed.

    Raises ``ScriptError`` at the first invalid line.
    """
    steps: list[Step] = []
    random = Random(seed)
    for raw_line in text.splitlines():
        line = raw_line.partition("#")[0].strip()
        if not line:
            continue
        first, *words = line.split()
        at = _number(first, line)
        if not words:
            raise ScriptError(f"fault script: no fault after the time in: {line}")
        steps += _steps(at, words[0], words[1:], names, random, line)
    return sorted(steps, key=lambda step: step.at)


def _option(words: list[str], name: str, line: str, default: float | None = None) -> float:
    if name not in words:
        if default is None:
            raise ScriptError(f"fault script: {name} is missing in: {line}")
        return default
    index = words.index(name)
    if index + 1 >= len(words):
        raise ScriptError(f"fault script: {name} has no value in: {line}")
    value = words[index + 1]
    del words[index : index + 2]
    return _number(value.removesuffix("%"), line)


def _steps(at: float, verb: str, words: list[str], names: Sequence[str], random: Random, line: str) -> list[Step]:
    if verb == "kill":
        restart_s = _option(words, "back", line)
        return [Step(at, "kill", _servers(words, names, random, line), duration_s=restart_s)]
    if verb == "drain":
        return [Step(at, "drain", _servers(words, names, random, line))]
    if verb == "slow":
        duration_s = _option(words, "for", line)
        factors = [word for word in words if word.startswith("x")]
        if len(factors) != 1:
            raise ScriptError(f"fault script: slow needs exactly one factor such as x0.1 in: {line}")
        words.remove(factors[0])
        return [Step(at, "slow", _servers(words, names, random, line), _number(factors[0], line, "x"), duration_s)]
    if verb == "deploy":
        batch_size = max(1, round(_option(words, "batch", line) / 100 * len(names)))
        interval_s = _option(words, "every", line)
        order = list(_servers(words, names, random, line))
        random.shuffle(order)
        return [
            Step(at + n // batch_size * interval_s, "drain", tuple(order[n : n + batch_size]))
            for n in range(0, len(order), batch_size)
        ]
    if verb == "surge" and words and words[0].startswith("x"):
        return [Step(at, "surge", (), _number(words[0], line, "x"), _option(words, "for", line))]
    if verb == "catalog" and words and words[0] in ("away", "lies"):
        duration_s = _option(words, "for", line)
        variant = words[1] if len(words) > 1 else ""
        if words[0] == "lies" and variant not in ("empty", "half", "garbage"):
            raise ScriptError(f"fault script: catalog lies needs empty, half or garbage, not {variant!r}, in: {line}")
        return [Step(at, f"catalog-{words[0]}", (), 1.0, duration_s, variant)]
    raise ScriptError(f"fault script: unknown fault {verb!r} in: {line}")
