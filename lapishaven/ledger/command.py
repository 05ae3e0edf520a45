"""``lapishaven record``: what the file holds, whether it holds together, who is charged what."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter

from lapishaven.ledger import file_copies
from lapishaven.ledger.audit import Charge, Effect, differences
from lapishaven.ledger.database import LedgerDatabase, LedgerError
from lapishaven.ledger.settings import load
from lapishaven.ledger.transitions import Standing

DOUBT = 60.0  # s after which an intent without an end is told as in doubt


def _rows(base: LedgerDatabase) -> tuple[list[Effect], list[Charge]]:
    effects = [
        Effect((str(cls), str(key)), Standing(standing), str(customer), int(str(words)))
        for cls, key, standing, customer, words in base.read("select class, key, standing, customer, words from effect")
    ]
    charges = [
        Charge((str(cls), str(key)), str(account), int(str(words)))
        for cls, key, account, words in base.read("select class, key, account, words from ledger")
    ]
    return effects, charges


def audit(path: str) -> int:
    """Every difference between effects and ledger; exit 1 if there are any."""
    base = LedgerDatabase(load(path).file)
    effects, charges = _rows(base)
    base.close()
    found = list(differences(effects, charges))
    for line in found:
        print(line)
    total = sum(charge.words for charge in charges)
    if total:
        found.append("")
        print(f"the ledger's sum is {total}, not 0")
    if not found:
        print(f"{len(effects)} effects and {len(charges)} entries hold together")
    return 1 if found else 0


def stat(path: str, as_json: bool) -> int:
    """Effects by standing; exit 1 if some are in doubt: intended over a minute ago, with no end."""
    base = LedgerDatabase(load(path).file)
    counts = Counter(str(standing) for (standing,) in base.read("select standing from effect"))
    doubts = base.read(
        "select class, key, start, since from effect where standing = 'intended' and since < ?", (time.time() - DOUBT,)
    )
    base.close()
    if as_json:
        print(json.dumps({**counts, "in_doubt": [list(row) for row in doubts]}))
    else:
        print(", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or "nothing yet")
        for cls, key, start, since in doubts:
            print(f"in doubt: {cls} {key}, begun {time.time() - float(str(since)):.0f} s ago by {start}")
    return 1 if doubts else 0


def bill(path: str, since: float, until: float, as_json: bool) -> int:
    """Words by customer, of effects that ended from ``since`` on and before ``until`` (Unix seconds)."""
    base = LedgerDatabase(load(path).file)
    found = base.read(
        "select substr(account, 10), count(*), sum(words) from ledger"
        " where account like 'customer/%' and at >= ? and at < ? group by account order by account",
        (since, until),
    )
    base.close()
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
    """A copy at one instant, while servers go on."""
    file_copies.backup(load(path).file, to, _progress)
    print(f"copied to {to}")
    return 0


def restore(path: str, source: str) -> int:
    """A backup in the place of a record that is not there."""
    file = load(path).file
    file_copies.restore(file, source, _progress)
    print(f"{file} is as {source} was")
    return 0


def export(path: str, table: str, to: str) -> int:
    """Rows as CSV, into a file that is not there yet."""
    try:
        with open(to, "x", newline="") as out:
            count = file_copies.export(load(path).file, table, out)
    except OSError as error:
        raise LedgerError(f"cannot write {to}: {error.strerror or error}") from None
    print(f"{count} rows in {to}")
    return 0
