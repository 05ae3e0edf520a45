"""The settings of the record, from ``deploy/record.toml``: checked, one plain line on what is wrong."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from lapishaven.ledger.backpressure import BackpressureRules
from lapishaven.ledger.metering import METERS, Meter


class LedgerSettingsError(ValueError):
    """One plain line on what is wrong."""


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """``meters`` by class; ``usual`` for the others. Times in seconds."""

    file: str
    rules: BackpressureRules
    meters: Mapping[str, Meter]
    usual: Meter


LIMITS = {
    "most": (1, 1_000_000),
    "stall": (0.01, 60.0),
    "faults": (1, 100),
    "pause": (0.01, 60.0),
    "pause_most": (0.01, 600.0),
}


def _meter(where: str, name: Any) -> Meter:
    if not isinstance(name, str) or name not in METERS:
        raise LedgerSettingsError(f"{where} is {name!r}, none of {', '.join(METERS)}")
    return METERS[name]


def load(path: str) -> LedgerSettings:
    """The checked settings; ``RecordSettingsError`` says what is wrong."""
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise LedgerSettingsError(f"cannot read {path}: {getattr(error, 'strerror', None) or error}") from None
    if odd := set(data) - {"file", "meter", "flow"}:
        raise LedgerSettingsError(f"{path}: unknown {sorted(odd)[0]}")
    if not isinstance(data.get("file"), str) or not data["file"].startswith("/"):
        raise LedgerSettingsError(f"{path}: file is no path from the root")
    meters, flow = data.get("meter", {}), data.get("flow", {})
    if not isinstance(meters, dict) or not isinstance(flow, dict):
        raise LedgerSettingsError(f"{path}: meter or flow is not a table")
    values: dict[str, Any] = {}
    kinds = {field.name: field.type for field in fields(BackpressureRules)}
    for name, value in flow.items():
        field = name.removesuffix("_s")
        if field not in LIMITS or (name.endswith("_s") is not (kinds[field] == "float")):
            raise LedgerSettingsError(f"{path}: flow has an unknown {name}")
        low, high = LIMITS[field]
        whole = kinds[field] == "int"
        if isinstance(value, bool) or not isinstance(value, int if whole else int | float) or not low <= value <= high:
            kind = "whole number" if whole else "number"
            raise LedgerSettingsError(f"{path}: flow.{name} is {value!r}, no {kind} from {low:g} to {high:g}")
        values[field] = value
    found = {cls: _meter(f"{path}: meter.{cls}", name) for cls, name in meters.items()}
    return LedgerSettings(data["file"], BackpressureRules(**values), found, found.get("usual", METERS["each"]))
