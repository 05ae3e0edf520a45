"""Commands of ``lapishaven ownership``. Each prints its result and returns the exit code.

All raise ``OwnershipError`` if the coordinator or the receiver's store cannot be opened.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Iterator, Sequence
from contextlib import closing, contextmanager, suppress
from typing import Any

from lapishaven.ownership.duties import restart
from lapishaven.ownership.fence import HighWaterMark
from lapishaven.ownership.fenced_store import FencedStore, FencedStoreError
from lapishaven.ownership.model import (
    AlreadyOwnedError,
    Coordinator,
    CoordinatorError,
    MemberRecord,
    MemberState,
    SessionExpiredError,
    Shard,
    View,
)
from lapishaven.ownership.participant import DUTY_SCHEMAS, open_coordinator
from lapishaven.ownership.settings import OwnershipError, load
from lapishaven.ownership.verify import NO_STATEMENT, ConsumptionTotal, EffectRow, first_violation

RENEWALS_PER_TTL = 3
EFFECT_COLUMNS = ("position", "duty", "shard", "token", "number", "effect", "detail", "answer")
PERMIT_COLUMNS = ("name", "start", "token", "rollout")


# ---- The state of the coordinator
def members(path: str, as_json: bool) -> int:
    """Print the live members."""
    view = _read_view(path)
    rows = [
        {
            "name": member.record.name,
            "standing": member.record.state.value,
            "weight": member.record.weight,
            "shards": sum(owner.session == member.session for owner in view.owners.values()),
            "session": member.session,
            "start": member.record.incarnation,
        }
        for member in view.members
    ]
    _print_rows(rows, as_json)
    return 0


def status(path: str, as_json: bool) -> int:
    """Print the owner of each shard; exit code 1 if a shard that was owned before has no owner."""
    view = _read_view(path)
    names = {member.session: member.record.name for member in view.members}
    shards = sorted(set(view.owners) | set(view.effect_counts))
    _print_rows([_status_row(shard, view, names) for shard in shards], as_json)
    return 0 if all(shard in view.owners for shard in shards) else 1


def _status_row(shard: Shard, view: View, names: dict[int, str]) -> dict[str, Any]:
    duty, number = shard
    owner = view.owners.get(shard)
    return {
        "duty": duty,
        "shard": number,
        "owner": names.get(owner.session, "?") if owner else "nobody",
        "token": owner.token if owner else 0,
        "receiver_holds": view.effect_counts.get(shard, 0),
    }


# ---- Changes of ownership
def release(path: str, duty: str, shard: int) -> int:
    """Take a shard from its owner, so that another member claims it. The receiver rejects effects of the old owner
    from the first effect of the new one."""
    view = _read_view(path)
    coordinator = open_coordinator(load(path))
    owner = view.owners.get((duty, shard))
    if owner is None:
        raise OwnershipError(f"cannot release {duty} {shard}: it has no owner")
    try:
        released = coordinator.transfer(owner.session, (duty, shard), owner.token, None)
    except (CoordinatorError, SessionExpiredError) as error:
        raise OwnershipError(
            f"release of {duty} {shard} may or may not have been carried out, check with `ownership status`:"
            f" {str(error) or 'session expired'}"
        ) from None
    finally:
        coordinator.close()
    print(f"{duty} {shard}: token {owner.token} {'released' if released else 'was no longer in force'}")
    return 0 if released else 1


def claim(path: str, duty: str, shard: int, duration_s: float) -> int:
    """Own a shard as an operator, so that no member works on it, for ``duration_s`` or until Ctrl-C."""
    settings = load(path)
    coordinator = open_coordinator(settings)
    ttl = settings.rules.ttl
    try:
        name = f"operator-{os.getpid()}"
        # Listed as leaving, so that no other shard is placed on it.
        record = MemberRecord(name, f"{name}:{time.time():.0f}", MemberState.LEAVING)
        session = coordinator.join(record, ttl).session
        token = _take_shard(coordinator, session, (duty, shard))
        print(f"{duty} {shard}: held with token {token} for {duration_s:g} s", flush=True)
        _hold_session(coordinator, session, ttl, duration_s)
        coordinator.deregister(session)
    except AlreadyOwnedError:
        raise OwnershipError(
            f"cannot claim {duty} {shard}: another session took the shard, or the name {name}, at the same time"
        ) from None
    except (CoordinatorError, SessionExpiredError) as error:
        raise OwnershipError(
            f"claim of {duty} {shard} failed or ended early: {str(error) or 'the coordinator ended the session'}"
        ) from None
    finally:
        coordinator.close()
    return 0


def _take_shard(coordinator: Coordinator, session: int, shard: Shard) -> int:
    """Claim a shard, or transfer it from its present owner; returns the fencing token."""
    owner = coordinator.read_state().owners.get(shard)
    if owner is None:
        return coordinator.claim(session, shard)
    coordinator.transfer(owner.session, shard, owner.token, session)
    new_owner = coordinator.read_state().owners.get(shard)
    if new_owner is None or new_owner.session != session:
        duty, number = shard
        raise OwnershipError(f"cannot claim {duty} {number}: its owner changed during the transfer")
    return new_owner.token


def _hold_session(coordinator: Coordinator, session: int, ttl: float, duration_s: float) -> None:
    """Renew a session for ``duration_s`` or until Ctrl-C."""
    ends_at = time.monotonic() + duration_s
    with suppress(KeyboardInterrupt):
        while (remaining := ends_at - time.monotonic()) > 0:
            time.sleep(min(ttl / RENEWALS_PER_TTL, remaining))
            coordinator.renew(session)


# ---- The receiver's store
def history(path: str, duty: str | None, last: int, as_json: bool) -> int:
    """Print the ``last`` newest effects that the receiver admitted, the oldest first."""
    with _open_store(path) as store:
        rows = store.read(
            "select position, duty, shard, token, number, effect, detail, answer from fence_log"
            " where ? is null or duty = ? order by position desc limit ?",
            (duty, duty, last),
        )
        _print_table(EFFECT_COLUMNS, list(reversed(rows)), as_json)
    return 0


def find_store_violation(store: FencedStore) -> str | None:
    """Check the invariants of a store; returns the first violation, None without one."""
    rows = [
        EffectRow((duty, shard), token, number)
        for duty, shard, token, number in store.read(
            "select duty, shard, token, number from fence_log order by position"
        )
    ]
    marks = {
        (duty, shard): HighWaterMark(token, number, effect_count)
        for duty, shard, token, number, effect_count in store.read("select * from fence_mark")
    }
    consumption = store.read(
        f"select c.team, coalesce(s.period, {NO_STATEMENT}), c.count, c.worth from consumption c"
        " left join statement_row s using (server, start, number)"
    )
    statements = store.read("select team, period, count, worth from statement")
    return first_violation(
        rows, marks, map(ConsumptionTotal._make, consumption), map(ConsumptionTotal._make, statements)
    )


def verify(path: str) -> int:
    """Check the invariants of the store; on a violation print it and return exit code 1."""
    with _open_store(path) as store:
        violation = find_store_violation(store)
        count = store.read("select count(*) from fence_log")[0][0]
    print(violation or f"{count} effects checked, no violation found")
    return 1 if violation else 0


# ---- Rolling restarts
def permitted(path: str, as_json: bool) -> int:
    """Print the members that a rolling restart permits to restart now, for the supervisor that upgrades them; exit
    code 1 if there are none.

    ``start`` is the incarnation to be replaced, so that a supervisor acts only once on each.
    """
    with _open_store(path) as store:
        rows = store.read(
            "select name, start, token, rollout from restart_member where state = 'permitted' order by name"
        )
        _print_table(PERMIT_COLUMNS, rows, as_json)
    return 0 if rows else 1


def rollout(path: str, name: str, at_once: int, share: float) -> int:
    """Order a rolling restart, which the owner of the restart duty carries out."""
    with _open_store(path) as store:
        number = store.read("select coalesce(max(number), 0) + 1 from restart_rollout")[0][0]
        store.write(lambda connection: restart.order_rollout(connection, name, at_once, share, number))
    print(f"rollout {name}: ordered, at most {at_once} at once and {share:.0%} of the capacity")
    return 0


# ---- Helpers
def _read_view(path: str) -> View:
    coordinator = open_coordinator(load(path))
    try:
        return coordinator.read_state()
    except CoordinatorError as error:
        raise OwnershipError(f"cannot read the coordinator's state (settings {path}): {error}") from None
    finally:
        coordinator.close()


@contextmanager
def _open_store(path: str) -> Iterator[FencedStore]:
    try:
        with closing(FencedStore(load(path).receiver, DUTY_SCHEMAS)) as store:
            yield store
    except FencedStoreError as error:
        raise OwnershipError(str(error)) from None


def _print_table(columns: Sequence[str], rows: list[tuple[Any, ...]], as_json: bool) -> None:
    _print_rows([dict(zip(columns, row, strict=True)) for row in rows], as_json)


def _print_rows(rows: list[dict[str, Any]], as_json: bool) -> None:
    for row in rows:
        print(json.dumps(row) if as_json else "  ".join(f"{key} {value}" for key, value in row.items()))
