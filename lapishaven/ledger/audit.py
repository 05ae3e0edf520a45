"""Compares effects with their charges and describes every inconsistency. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from lapishaven.ledger.database import REVENUE_ACCOUNT
from lapishaven.ledger.transitions import EffectState

EffectId = tuple[str, str]  # class and idempotency key


@dataclass(frozen=True, slots=True)
class Effect:
    """An effect as stored. ``words`` is what ``customer`` is charged once the effect is completed."""

    effect_id: EffectId
    state: EffectState
    customer: str
    words: int


@dataclass(frozen=True, slots=True)
class Charge:
    """One entry of the ledger: ``words`` debited to an account (negative: credited)."""

    effect_id: EffectId
    account: str
    words: int


def differences(effects: Iterable[Effect], charges: Iterable[Charge]) -> Iterator[str]:
    """One line for each inconsistency between effects and charges."""
    effects_by_id = {effect.effect_id: effect for effect in effects}
    charges_by_id: dict[EffectId, dict[str, int]] = {}
    for charge in charges:
        charges_by_id.setdefault(charge.effect_id, {})[charge.account] = charge.words
    for effect_id, effect in sorted(effects_by_id.items()):
        entries = charges_by_id.pop(effect_id, {})
        for difference in _differences_of(effect, entries):
            yield f"{effect_id[0]} {effect_id[1]}: {difference}"
    for effect_id in sorted(charges_by_id):
        yield f"{effect_id[0]} {effect_id[1]}: charged, but no such effect is stored"


def _differences_of(effect: Effect, entries: Mapping[str, int]) -> Iterator[str]:
    """``entries`` holds the effect's charges: words by account."""
    if effect.state is not EffectState.COMPLETED:
        if entries:
            yield f"charged, but its state is {effect.state.value!r}"
        return
    account = f"customer/{effect.customer}"
    if account not in entries:
        yield f"done, but customer {effect.customer} was not charged for {effect.words} words"
    elif entries[account] != effect.words:
        yield f"customer {effect.customer} was charged {entries[account]} words instead of {effect.words}"
    if REVENUE_ACCOUNT not in entries:
        yield f"done, but {effect.words} words are missing from the revenue account {REVENUE_ACCOUNT!r}"
    elif entries[REVENUE_ACCOUNT] != -effect.words:
        yield f"revenue account {REVENUE_ACCOUNT!r} has {-entries[REVENUE_ACCOUNT]} words instead of {effect.words}"
    for other in sorted(set(entries) - {account, REVENUE_ACCOUNT}):
        yield f"also charged to account {other}: {entries[other]} words"
