"""The settings of a small deployment: the names and figures of ``addis-tm-main``, scaled to one match server."""

from __future__ import annotations

import json
from typing import Any

Address = tuple[str, int]
GAUGES = ("core_use", "on_cores", "heap_share", "links")
CORES = 6


def profile(name: str, effect: str, aim: float, deadline: float, credit: float, window: float = 5.0) -> dict[str, Any]:
    """One class of requests."""
    return {
        "name": name,
        "aim": aim,
        "deadline": deadline,
        "credit": credit,
        "effect": effect,
        "late-worth": 0.2,
        "window": window,
    }


def standard_profiles(commit_effect: str = "single_shot") -> list[dict[str, Any]]:
    """The three classes of the site; ``commit_effect`` is the effect of ``approve-commit``."""
    return [
        profile("fuzzy-match", "free", 1.5, 5.6, 1.0),
        profile("segment-save", "free", 1.5, 4.5, 1.0),
        profile("approve-commit", commit_effect, 1.1, 3.8, 3.0),
    ]


def settings(profiles: list[dict[str, Any]]) -> dict[str, Any]:
    """The ``settings`` object of a configuration."""
    return {
        "callers": {"marks-retry": True},
        "customers": [],
        "over-share-worth": 0.1,
        "peers-total": 1,
        "value-by": "request",
        "extra": {
            "below": "silent",
            "calls-by-class": [False] * len(profiles),
            "class-skip-worth": [0.0] * len(profiles),
            "cold": False,
            "cores": CORES,
            "deep-checks": True,
            "dep-window": 5.0,
            "fair-calls": 0.0,
            "fresh": 0.0,
            "gauges": list(GAUGES),
            "halt": "suspend",
            "idle": 15.0,
            "key-kb": 112.32,
            "linger": 0.2,
            "memory-kb": 29232.0,
            "passes-deadline": False,
            "registry-follows": True,
            "run-factor": 16.0,
            "said-for": 1.0,
            "say": "silent",
            "tells-gone": True,
            "upstreams": 3,
        },
        "limits": {"max-retry-after": 1.0, "retry-after": True},
        "obligations": {
            "answer-slack": 0.1,
            "cold": 17.0,
            "cold-from": 0.24,
            "drain-grace": 2.0,
            "fall-multiple": 6.0,
            "tip-after": 1.5,
        },
        "profiles": profiles,
    }


def configuration(
    listen: Address, interpreter: Address, catalog: Address, seed: int, profiles: list[dict[str, Any]]
) -> str:
    """The text of a match server's configuration file."""
    return json.dumps(
        {
            "name": "n1",
            "listen": "{}:{}".format(*listen),
            "vm": "{}:{}".format(*interpreter),
            "directory": "{}:{}".format(*catalog),
            "seed": f"{seed:016x}",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(profiles),
        }
    )
