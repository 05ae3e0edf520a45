"""Loads and validates the settings of the ledger, from the TOML file of ``serve --record``."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from lapishaven.ledger.backpressure import BackpressureRules
from lapishaven.ledger.metering import METERS, Meter


class LedgerSettingsError(ValueError):
    """The settings file is invalid. The message is a single line."""


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Validated settings of ``serve --record``.

    Attributes:
        file: path of the SQLite file.
        backpressure: limits of the queue of entries that wait to be written.
        meters: the meter of each class that has one of its own.
        default_meter: the meter of all other classes.
    """

    file: str
    backpressure: BackpressureRules
    meters: Mapping[str, Meter]
    default_meter: Meter


class FlowKey(NamedTuple):
    """A key of the table ``flow``: the field of ``BackpressureRules`` that it sets, and its inclusive bounds."""

    field: str
    low: float
    high: float
    whole: bool = False


FLOW_KEYS = {
    "most": FlowKey("max_waiting", 1, 1_000_000, whole=True),
    "stall_s": FlowKey("stall_s", 0.01, 60.0),
    "faults": FlowKey("failures_to_break", 1, 100, whole=True),
    "pause_s": FlowKey("retry_pause_s", 0.01, 60.0),
    "pause_most_s": FlowKey("max_retry_pause_s", 0.01, 600.0),
}
DEFAULT_METER_KEY = "usual"  # in the table ``meter``
DEFAULT_METER = METERS["each"]


def load_settings(path: str) -> LedgerSettings:
    """Read and validate the settings file. Raises ``LedgerSettingsError``."""
    try:
        tables = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise LedgerSettingsError(
            f"cannot read ledger settings {path}: {getattr(error, 'strerror', None) or error}"
        ) from None
    if unknown := set(tables) - {"file", "meter", "flow"}:
        raise LedgerSettingsError(f"{path}: unknown setting {min(unknown)}")
    if not isinstance(tables.get("file"), str) or not tables["file"].startswith("/"):
        raise LedgerSettingsError(f"{path}: file must be an absolute path, got {tables.get('file')!r}")
    meter_names = tables.get("meter", {})
    flow = tables.get("flow", {})
    if not isinstance(meter_names, dict) or not isinstance(flow, dict):
        raise LedgerSettingsError(
            f"{path}: meter and flow must be tables, got {type(meter_names).__name__} and {type(flow).__name__}"
        )
    values = {}
    for name, value in flow.items():
        if name not in FLOW_KEYS:
            raise LedgerSettingsError(f"{path}: unknown setting flow.{name}")
        values[FLOW_KEYS[name].field] = _flow_number(path, name, value)
    meters = {class_name: _meter(f"{path}: meter.{class_name}", name) for class_name, name in meter_names.items()}
    default_meter = meters.get(DEFAULT_METER_KEY, DEFAULT_METER)
    return LedgerSettings(tables["file"], BackpressureRules(**values), meters, default_meter)


def _flow_number(path: str, name: str, value: Any) -> Any:
    key = FLOW_KEYS[name]
    allowed = int if key.whole else int | float
    if isinstance(value, bool) or not isinstance(value, allowed) or not key.low <= value <= key.high:
        number_type = "whole number" if key.whole else "number"
        raise LedgerSettingsError(
            f"{path}: flow.{name} must be a {number_type} from {key.low:g} to {key.high:g}, got {value!r}"
        )
    return value


def _meter(setting: str, name: Any) -> Meter:
    if not isinstance(name, str) or name not in METERS:
        raise LedgerSettingsError(f"{setting} must be one of {', '.join(METERS)}, got {name!r}")
    return METERS[name]
