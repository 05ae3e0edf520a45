"""What a stand-in site is like: classes, boxes and the configuration of each match server."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from lapishaven.client.settings import ClassRule
from lapishaven.lab.interpreter import Box, Work

GAUGES = ("core_use", "on_cores", "heap_share", "links")


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of work as the brief has it."""

    name: str
    share: float
    work: Work
    aim: float
    deadline: float
    worth: float
    safe: bool


KINDS = (
    Kind("fuzzy-match", 0.42, Work(0.29, 0.49), 1.5, 5.6, 1.0, True),
    Kind("segment-save", 0.42, Work(0.17, 0.30), 1.5, 4.5, 1.0, True),
    Kind("approve-commit", 0.16, Work(0.17, 0.30), 1.1, 3.8, 3.0, False),
)
WORKS = {kind.name: kind.work for kind in KINDS}
MEAN_WORK = sum(kind.share * (kind.work.least + kind.work.most) / 2 for kind in KINDS)
STOP_MS = 3200


def rules(kinds: Sequence[Kind] = KINDS) -> dict[str, ClassRule]:
    """The classes as a client is told of them."""
    order = sorted(kinds, key=lambda kind: kind.worth)
    part = 1.0 / len(order)
    return {
        kind.name: ClassRule(
            kind.deadline,
            "safe" if kind.safe else "once",
            (kind.work.least + kind.work.most) / 2,
            rank=order.index(kind) * part,
            rank_span=part * 0.999,
        )
        for kind in kinds
    }


def box(random: Random) -> Box:
    """One box of the fleet: a third old, two thirds new."""
    speed = random.uniform(0.5, 0.7) if random.random() < 0.33 else random.uniform(1.0, 1.3)
    return Box(speed=speed)


def settings(of: Box, servers: int, callers: int, cold: bool, kinds: Sequence[Kind] = KINDS) -> dict[str, Any]:
    """The settings object that a match server's configuration holds."""
    memory = of.memory_runs * of.cores * 16.0 * 30.0
    return {
        "callers": {"marks-retry": True},
        "customers": [],
        "peers-total": servers,
        "value-by": "request",
        "extra": {
            "below": "silent",
            "calls-by-class": [False] * len(kinds),
            "class-skip-worth": [0.0] * len(kinds),
            "cold": cold,
            "cores": of.cores,
            "deep-checks": True,
            "dep-window": 5.0,
            "fair-calls": 0.0,
            "fresh": 0.0,
            "gauges": list(GAUGES),
            "halt": "suspend",
            "idle": 15.0,
            "key-kb": 0.0,
            "linger": 0.2,
            "memory-kb": memory,
            "passes-deadline": False,
            "registry-follows": True,
            "run-factor": 16.0,
            "said-for": 1.0,
            "say": "silent",
            "tells-gone": True,
            "upstreams": callers,
        },
        "limits": {"max-retry-after": 1.0, "retry-after": True},
        "obligations": {
            "answer-slack": 0.1,
            "cold": of.cold_span,
            "cold-from": of.cold_from,
            "drain-grace": 2.0,
            "fall-multiple": of.fall_multiple,
            "tip-after": of.fall_span,
        },
        "profiles": [
            {
                "name": kind.name,
                "aim": kind.aim,
                "deadline": kind.deadline,
                "credit": kind.worth,
                "effect": "free" if kind.safe else "single_shot",
                "late-worth": 0.2,
                "window": 5.0,
            }
            for kind in kinds
        ],
    }


def configuration(
    name: str,
    listen: tuple[str, int],
    interpreter: tuple[str, int],
    catalog: tuple[str, int],
    seed: int,
    of: Box,
    servers: int,
    callers: int,
    cold: bool,
    stop_ms: int = STOP_MS,
) -> str:
    """The configuration file of one match server."""
    return json.dumps(
        {
            "name": name,
            "listen": f"{listen[0]}:{listen[1]}",
            "vm": f"{interpreter[0]}:{interpreter[1]}",
            "directory": f"{catalog[0]}:{catalog[1]}",
            "seed": f"{seed:016x}",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(of, servers, callers, cold),
        }
    )
