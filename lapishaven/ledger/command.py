"""``lapishaven record``: what the ledger holds, whether it is consistent, who is charged what."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter

from lapishaven.ledger import file_copies
from lapishaven.ledger.audit import Charge, Effect, differences
from lapishaven.ledger.database import LedgerDatabase, LedgerError
from lapishaven.ledger.settings import load_settings
from lapishaven.ledger.transitions import EffectState

UNCERTAIN_AFTER_S = 60.0  # since an intent, after which it is reported as uncertain if it has no end


def read_rows(database: LedgerDatabase) -> tuple[list[Effect], list[Charge]]:
    """All effects and charges of the file."""
    effects = [
        Effect((str(class_name), str(key)), EffectState(state), str(customer), int(str(words)))
        for class_name, key, state, customer, words in database.read(
            "select class, key, standing, customer, words from effect"
        )
    ]
    charges = [
        Charge((str(class_name), str(key)), str(account), int(str(words)))
        for class_name, key, account, words in database.read("select class, key, account, words from ledger")
    ]
    return effects, charges


def audit(path: str) -> int:
    """Print every difference between effects and charges; returns 1 if there are any."""
    database = LedgerDatabase(load_settings(path).file)
    effects, charges = read_rows(database)
    database.close()
    found = list(differences(effects, charges))
    for line in found:
        print(line)
    total = sum(charge.words for charge in charges)
    if total:
        print(f"the ledger's sum is {total}, not 0")
    consistent = not found and not total
    if consistent:
        print(f"{len(effects)} effects and {len(charges)} entries hold together")
    return 0 if consistent else 1


def stat(path: str, as_json: bool) -> int:
    """Print the number of effects by state; returns 1 if one is uncertain: intended over a minute ago, with no end."""
    database = LedgerDatabase(load_settings(path).file)
    counts = Counter(str(state) for (state,) in database.read("select standing from effect"))
    uncertain = database.read(
        "select class, key, start, since from effect where standing = 'intended' and since < ?",
        (time.time() - UNCERTAIN_AFTER_S,),
    )
    database.close()
    if as_json:
        print(json.dumps({**counts, "in_doubt": [list(row) for row in uncertain]}))
    else:
        print(", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or "nothing yet")
        for class_name, key, incarnation, since in uncertain:
            print(f"in doubt: {class_name} {key}, begun {time.time() - float(str(since)):.0f} s ago by {incarnation}")
    return 1 if uncertain else 0


def bill(path: str, since: float, until: float, as_json: bool) -> int:
    """Print words by customer, of effects that ended from ``since`` on and before ``until`` (Unix seconds)."""
    database = LedgerDatabase(load_settings(path).file)
    # An account is ``customer/NAME``: the name begins at the tenth character.
    found = database.read(
        "select substr(account, 10), count(*), sum(words) from ledger"
        " where account like 'customer/%' and at >= ? and at < ? group by account order by account",
        (since, until),
    )
    database.close()
    for customer, count, words in found:
        print(
            json.dumps({"customer": customer, "effects": count, "words": words})
            if as_json
            else f"{customer}: {words} words, {count} effects"
        )
    return 0


def _progress(part: float) -> None:
    if sys.stderr.isatty():
        print(f"\r{part:4.0%}", end="" if part < 1 else "\n", file=sys.stderr, flush=True)


def backup(path: str, to: str) -> int:
    """Copy the file as it is at one instant, while servers go on."""
    file_copies.backup(load_settings(path).file, to, _progress)
    print(f"copied to {to}")
    return 0


def restore(path: str, source: str) -> int:
    """Put a backup in place of a ledger that is not there."""
    file = load_settings(path).file
    file_copies.restore(file, source, _progress)
    print(f"{file} is as {source} was")
    return 0


def export(path: str, table: str, to: str) -> int:
    """Write rows as CSV into a file that is not there yet."""
    try:
        with open(to, "x", newline="") as out:
            count = file_copies.export(load_settings(path).file, table, out)
    except OSError as error:
        raise LedgerError(f"cannot write {to}: {error.strerror or error}") from None
    print(f"{count} rows in {to}")
    return 0
