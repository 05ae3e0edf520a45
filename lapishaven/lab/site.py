"""The site that the stand-ins model: classes of requests, machines, and the configuration of each match server."""

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
class RequestClass:
    """A class of requests, as specified for the site.

    ``share``: of all requests. ``objective_s``: the latency objective, after which a result counts less.
    ``deadline_s``: after which it counts nothing. ``worth``: the value of a result within its objective. ``safe``:
    whether an attempt may run more than once.
    """

    name: str
    share: float
    work: Work
    objective_s: float
    deadline_s: float
    worth: float
    safe: bool


CLASSES = (
    RequestClass("fuzzy-match", 0.42, Work(0.29, 0.49), 1.5, 5.6, 1.0, True),
    RequestClass("segment-save", 0.42, Work(0.17, 0.30), 1.5, 4.5, 1.0, True),
    RequestClass("approve-commit", 0.16, Work(0.17, 0.30), 1.1, 3.8, 3.0, False),
)
WORKS = {request_class.name: request_class.work for request_class in CLASSES}
MEAN_WORK_S = sum(
    request_class.share * (request_class.work.min_s + request_class.work.max_s) / 2 for request_class in CLASSES
)
STOP_MS = 3200


def rules(classes: Sequence[RequestClass] = CLASSES) -> dict[str, ClassRule]:
    """The classes as a client's settings."""
    order = sorted(classes, key=lambda request_class: request_class.worth)
    rank_share = 1.0 / len(order)
    return {
        request_class.name: ClassRule(
            request_class.deadline_s,
            "safe" if request_class.safe else "once",
            (request_class.work.min_s + request_class.work.max_s) / 2,
            rank=order.index(request_class) * rank_share,
            rank_span=rank_share * 0.999,
        )
        for request_class in classes
    }


def box(random: Random) -> Box:
    """Draw a machine: a third of them are old and slow, two thirds new."""
    speed = random.uniform(0.5, 0.7) if random.random() < 0.33 else random.uniform(1.0, 1.3)
    return Box(speed=speed)


def settings(
    box: Box, servers: int, callers: int, cold: bool, classes: Sequence[RequestClass] = CLASSES
) -> dict[str, Any]:
    """The ``settings`` object of a match server's configuration."""
    memory_kb = box.memory_runs * box.cores * 16.0 * 30.0
    return {
        "callers": {"marks-retry": True},
        "customers": [],
        "peers-total": servers,
        "value-by": "request",
        "extra": {
            "below": "silent",
            "calls-by-class": [False] * len(classes),
            "class-skip-worth": [0.0] * len(classes),
            "cold": cold,
            "cores": box.cores,
            "deep-checks": True,
            "dep-window": 5.0,
            "fair-calls": 0.0,
            "fresh": 0.0,
            "gauges": list(GAUGES),
            "halt": "suspend",
            "idle": 15.0,
            "key-kb": 0.0,
            "linger": 0.2,
            "memory-kb": memory_kb,
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
            "cold": box.cold_span_s,
            "cold-from": box.cold_from,
            "drain-grace": 2.0,
            "fall-multiple": box.fall_multiple,
            "tip-after": box.fall_span_s,
        },
        "profiles": [
            {
                "name": request_class.name,
                "aim": request_class.objective_s,
                "deadline": request_class.deadline_s,
                "credit": request_class.worth,
                "effect": "free" if request_class.safe else "single_shot",
                "late-worth": 0.2,
                "window": 5.0,
            }
            for request_class in classes
        ],
    }


def configuration(
    name: str,
    listen: tuple[str, int],
    interpreter: tuple[str, int],
    catalog: tuple[str, int],
    seed: int,
    box: Box,
    servers: int,
    callers: int,
    cold: bool,
    stop_ms: int = STOP_MS,
) -> str:
    """The text of a match server's configuration file."""
    return json.dumps(
        {
            "name": name,
            "listen": f"{listen[0]}:{listen[1]}",
            "vm": f"{interpreter[0]}:{interpreter[1]}",
            "directory": f"{catalog[0]}:{catalog[1]}",
            "seed": f"{seed:016x}",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(box, servers, callers, cold),
        }
    )
