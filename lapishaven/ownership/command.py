"""``lapishaven ownership``: what operators see and do. Each gives its exit code."""

from __future__ import annotations

import json
import os
import time
from contextlib import suppress
from typing import Any

from lapishaven.ownership.duties import restart
from lapishaven.ownership.fence import Mark
from lapishaven.ownership.fenced_store import FencedStore, FencedStoreError
from lapishaven.ownership.model import AlreadyOwned, CoordinatorError, MemberRecord, SessionGone, Shard, Standing, View
from lapishaven.ownership.participant import PLANS, coordinator
from lapishaven.ownership.settings import OwnershipError, load
from lapishaven.ownership.verify import Row, broken


def _view(path: str) -> View:
    there = coordinator(load(path))
    try:
        return there.look()
    except CoordinatorError as error:
        raise OwnershipError(f"the coordinator does not answer: {error}") from None
    finally:
        there.close()


def _print(rows: list[dict[str, Any]], as_json: bool) -> None:
    for row in rows:
        print(json.dumps(row) if as_json else "  ".join(f"{key} {value}" for key, value in row.items()))


def _book(path: str) -> FencedStore:
    try:
        return FencedStore(load(path).receiver, PLANS)
    except FencedStoreError as error:
        raise OwnershipError(str(error)) from None


def members(path: str, as_json: bool) -> int:
    view = _view(path)
    rows = [
        {
            "name": seen.card.name,
            "standing": seen.card.standing.value,
            "weight": seen.card.weight,
            "shards": sum(owned.session == seen.session for owned in view.owners.values()),
            "session": seen.session,
            "start": seen.card.start,
        }
        for seen in view.members
    ]
    _print(rows, as_json)
    return 0


def status(path: str, as_json: bool) -> int:
    """Owners of all shards; exit 1 where a shard that was ever owned has none."""
    view = _view(path)
    names = {seen.session: seen.card.name for seen in view.members}
    shards = sorted(set(view.owners) | set(view.marks))
    rows = []
    for shard in shards:
        owned = view.owners.get(shard)
        rows.append(
            {
                "duty": shard[0],
                "shard": shard[1],
                "owner": names.get(owned.session, "?") if owned else "nobody",
                "token": owned.token if owned else 0,
                "receiver_holds": view.marks.get(shard, 0),
            }
        )
    _print(rows, as_json)
    return 0 if all(shard in view.owners for shard in shards) else 1


def release(path: str, duty: str, shard: int) -> int:
    """Take a shard from its owner; another member claims it. The old owner's acts are refused once the new one acts."""
    view, there = _view(path), coordinator(load(path))
    owned = view.owners.get((duty, shard))
    if owned is None:
        raise OwnershipError(f"{duty} {shard} has no owner")
    try:
        done = there.hand(owned.session, (duty, shard), owned.token, None)
    except (CoordinatorError, SessionGone) as error:
        raise OwnershipError(f"no answer, look again: {error}") from None
    finally:
        there.close()
    print(f"{duty} {shard}: token {owned.token} {'released' if done else 'was no longer in force'}")
    return 0 if done else 1


def claim(path: str, duty: str, shard: int, span: float) -> int:
    """Hold a shard as an operator, so that nobody works on it, for ``span`` seconds or until Ctrl-C."""
    settings = load(path)
    there = coordinator(settings)
    ttl = settings.rules.ttl
    key: Shard = (duty, shard)
    try:
        name = f"operator-{os.getpid()}"
        card = MemberRecord(name, f"{name}:{time.time():.0f}", Standing.LEAVING)  # is given no work
        session = there.join(card, ttl).session
        owned = there.look().owners.get(key)
        if owned is None:
            token = there.claim(session, key)
        else:
            there.hand(owned.session, key, owned.token, session)
            now = there.look().owners.get(key)
            if now is None or now.session != session:
                raise OwnershipError(f"{duty} {shard} changed hands meanwhile")
            token = now.token
        print(f"{duty} {shard}: held with token {token} for {span:g} s", flush=True)
        until = time.monotonic() + span
        with suppress(KeyboardInterrupt):
            while (left := until - time.monotonic()) > 0:
                time.sleep(min(ttl / 3, left))
                there.renew(session)
        there.leave(session)
    except AlreadyOwned:
        raise OwnershipError(f"{duty} {shard} was taken by another just now") from None
    except (CoordinatorError, SessionGone) as error:
        raise OwnershipError(f"the coordinator did not keep it: {error}") from None
    finally:
        there.close()
    return 0


def history(path: str, duty: str | None, last: int, as_json: bool) -> int:
    """The last effects that the receiver admitted, oldest first."""
    book = _book(path)
    found = book.read(
        "select position, duty, shard, token, number, effect, detail, answer from fence_log"
        " where ? is null or duty = ? order by position desc limit ?",
        (duty, duty, last),
    )
    names = ("position", "duty", "shard", "token", "number", "effect", "detail", "answer")
    _print([dict(zip(names, row, strict=True)) for row in reversed(found)], as_json)
    book.close()
    return 0


def read_book(book: FencedStore) -> str | None:
    """The first thing in a book that does not hold."""
    rows = [
        Row((duty, shard), token, number)
        for duty, shard, token, number in book.read(
            "select duty, shard, token, number from fence_log order by position"
        )
    ]
    marks = {(row[0], row[1]): Mark(*row[2:]) for row in book.read("select * from fence_mark")}
    served = book.read(
        "select c.team, coalesce(s.period, -1), c.count, c.worth from consumption c"
        " left join statement_row s using (server, start, number)"
    )
    statements = book.read("select team, period, count, worth from statement")
    return broken(rows, marks, served, statements)


def verify(path: str) -> int:
    """Whether the book holds together; exit 1 and one line if not."""
    book = _book(path)
    found = read_book(book)
    count = book.read("select count(*) from fence_log")[0][0]
    book.close()
    print(found or f"{count} effects hold together")
    return 1 if found else 0


def permitted(path: str, as_json: bool) -> int:
    """Members that a rolling restart permits to go now, for what upgrades them; exit 1 where there are none.

    ``start`` is the start of the process that has to be followed by another: who has seen to it once need not again.
    """
    book = _book(path)
    found = book.read("select name, start, token, rollout from restart_member where state = 'permitted' order by name")
    _print([dict(zip(("name", "start", "token", "rollout"), row, strict=True)) for row in found], as_json)
    book.close()
    return 0 if found else 1


def rollout(path: str, name: str, at_once: int, share: float) -> int:
    """Order a rolling restart; the duty's owner carries it out."""
    book = _book(path)
    number = book.read("select coalesce(max(number), 0) + 1 from restart_rollout")[0][0]
    book.note(lambda base: restart.order(base, name, at_once, share, number))
    book.close()
    print(f"rollout {name}: ordered, at most {at_once} at once and {share:.0%} of the capacity")
    return 0
