"""Effects compared with their charges: every difference in words. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from lapishaven.ledger.database import REVENUE_ACCOUNT
from lapishaven.ledger.transitions import EffectState

EffectName = tuple[str, str]  # class and idempotency key of an effect


@dataclass(frozen=True, slots=True)
class Effect:
    """An effect as the file has it. ``words``: what ``customer`` is to be charged once it is completed."""

    name: EffectName
    state: EffectState
    customer: str
    words: int


@dataclass(frozen=True, slots=True)
class Charge:
    """One entry of the ledger."""

    name: EffectName
    account: str
    words: int


def differences(effects: Iterable[Effect], charges: Iterable[Charge]) -> Iterator[str]:
    """One line for each difference."""
    effects_by_name = {effect.name: effect for effect in effects}
    charges_by_name: dict[EffectName, dict[str, int]] = {}
    for charge in charges:
        charges_by_name.setdefault(charge.name, {})[charge.account] = charge.words
    for name, effect in sorted(effects_by_name.items()):
        entries = charges_by_name.pop(name, {})
        for difference in _differences_of(effect, entries):
            yield f"{name[0]} {name[1]}: {difference}"
    for name in sorted(charges_by_name):
        yield f"{name[0]} {name[1]}: charged, and no such effect is there"


def _differences_of(effect: Effect, entries: Mapping[str, int]) -> Iterator[str]:
    """``entries``: words by account."""
    if effect.state is not EffectState.COMPLETED:
        if entries:
            yield f"charged, and it is {effect.state.value}"
        return
    account = f"customer/{effect.customer}"
    if account not in entries:
        yield f"done, and {effect.customer} was not charged"
    elif entries[account] != effect.words:
        yield f"{effect.customer} was charged {entries[account]} words for {effect.words}"
    if REVENUE_ACCOUNT not in entries:
        yield "done, and not earned"
    elif entries[REVENUE_ACCOUNT] != -effect.words:
        yield f"earned {-entries[REVENUE_ACCOUNT]} words for {effect.words}"
    for other in sorted(set(entries) - {account, REVENUE_ACCOUNT}):
        yield f"charged to {other} too"
