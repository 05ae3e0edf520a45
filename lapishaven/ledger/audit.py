"""Effects and ledger held against each other: every difference named. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lapishaven.ledger.database import EARNED
from lapishaven.ledger.transitions import Standing

Name = tuple[str, str]  # class and key


@dataclass(frozen=True, slots=True)
class Effect:
    name: Name
    standing: Standing
    customer: str
    words: int


@dataclass(frozen=True, slots=True)
class Charge:
    name: Name
    account: str
    words: int


def differences(effects: Iterable[Effect], charges: Iterable[Charge]) -> Iterator[str]:
    """One line for each thing that does not hold."""
    there = {effect.name: effect for effect in effects}
    booked: dict[Name, dict[str, int]] = {}
    for charge in charges:
        booked.setdefault(charge.name, {})[charge.account] = charge.words
    for name, effect in sorted(there.items()):
        found = booked.pop(name, {})
        where = f"{name[0]} {name[1]}"
        if effect.standing is not Standing.DONE:
            if found:
                yield f"{where}: charged, and it is {effect.standing.value}"
            continue
        account = f"customer/{effect.customer}"
        if account not in found:
            yield f"{where}: done, and {effect.customer} was not charged"
        elif found[account] != effect.words:
            yield f"{where}: {effect.customer} was charged {found[account]} words for {effect.words}"
        if EARNED not in found:
            yield f"{where}: done, and not earned"
        elif found[EARNED] != -effect.words:
            yield f"{where}: earned {-found[EARNED]} words for {effect.words}"
        for odd in sorted(set(found) - {account, EARNED}):
            yield f"{where}: charged to {odd} too"
    for name in sorted(booked):
        yield f"{name[0]} {name[1]}: charged, and no such effect is there"
