"""``lapishaven record``: inspects, audits, bills, copies and exports the ledger. Each command returns its exit code."""

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

UNCERTAIN_AFTER_S = 60.0  # age of an intent without an outcome from which it is reported as uncertain


def read_rows(database: LedgerDatabase) -> tuple[list[Effect], list[Charge]]:
    """All effects and charges stored in the file."""
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
    """Print every inconsistency between effects and charges; returns 1 if there are any."""
    database = LedgerDatabase(load_settings(path).file)
    effects, charges = read_rows(database)
    database.close()
    inconsistencies = list(differences(effects, charges))
    for line in inconsistencies:
        print(line)
    total = sum(charge.words for charge in charges)
    if total:
        print(f"the entries of the ledger sum to {total} words instead of 0")
    consistent = not inconsistencies and not total
    if consistent:
        print(f"{len(effects)} effects and {len(charges)} ledger entries are consistent")
    return 0 if consistent else 1


def stat(path: str, as_json: bool) -> int:
    """Print the number of effects by state and the uncertain effects; returns 1 if there are any.

    An effect is uncertain if its intent is older than ``UNCERTAIN_AFTER_S`` and has no outcome.
    """
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
        print(", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or "no effects")
        for class_name, key, incarnation, since in uncertain:
            print(
                f"uncertain: {class_name} {key}, intended {time.time() - float(str(since)):.0f} s ago by {incarnation}"
            )
    return 1 if uncertain else 0


def bill(path: str, since: float, until: float, as_json: bool) -> int:
    """Print the words charged to each customer for effects that ended in [``since``, ``until``) (Unix seconds)."""
    database = LedgerDatabase(load_settings(path).file)
    # Accounts are named ``customer/NAME``, so the customer's name begins at the tenth character.
    rows = database.read(
        "select substr(account, 10), count(*), sum(words) from ledger"
        " where account like 'customer/%' and at >= ? and at < ? group by account order by account",
        (since, until),
    )
    database.close()
    for customer, count, words in rows:
        print(
            json.dumps({"customer": customer, "effects": count, "words": words})
            if as_json
            else f"{customer}: {words} words, {count} effects"
        )
    return 0


def _print_progress(fraction: float) -> None:
    if sys.stderr.isatty():
        print(f"\r{fraction:4.0%}", end="" if fraction < 1 else "\n", file=sys.stderr, flush=True)


def backup(path: str, to: str) -> int:
    """Copy a consistent snapshot of the ledger to the file ``to``, while servers keep writing."""
    file_copies.backup(load_settings(path).file, to, _print_progress)
    print(f"ledger backed up to {to}")
    return 0


def restore(path: str, source: str) -> int:
    """Create the ledger from the backup ``source``; it must not exist yet."""
    file = load_settings(path).file
    file_copies.restore(file, source, _print_progress)
    print(f"ledger {file} restored from {source}")
    return 0


def export(path: str, table: str, to: str) -> int:
    """Write the rows of a table as CSV into the new file ``to``."""
    try:
        with open(to, "x", newline="") as out:
            count = file_copies.export(load_settings(path).file, table, out)
    except OSError as error:
        raise LedgerError(f"cannot write CSV file {to}: {error.strerror or error}") from None
    print(f"{count} rows written to {to}")
    return 0
