"""Reports this server to rolling restarts, and takes the permit to restart."""

from __future__ import annotations

import sqlite3
from typing import NamedTuple

from lapishaven.ownership.duties import restart
from lapishaven.ownership.fenced_store import FencedStore


class Permit(NamedTuple):
    """Permission to shut down for a restart, for one incarnation."""

    token: int
    """The fencing token of the restart duty's owner."""
    incarnation: str


class RestartReporter:
    """``obeys``: whether this process leaves when permitted; ``supervised``: whether what started it sees to that."""

    def __init__(self, member: str, incarnation: str, obeys: bool, supervised: bool) -> None:
        self._member = member
        self._incarnation = incarnation
        self._obeys = obeys
        self._supervised = supervised
        self._guard = restart.PermitGuard()

    def report(self, store: FencedStore, ready: bool) -> Permit | None:
        """Report whether this server is ready; gives a permit that it is to obey now. Raises ``FencedStoreError``."""

        def report_and_read(base: sqlite3.Connection) -> list[Permit]:
            restart.report_member(base, self._member, self._incarnation, ready, self._obeys or self._supervised)
            rows = base.execute(
                "select token, start from restart_member where name = ? and state = 'permitted'", (self._member,)
            )
            return [Permit(*row) for row in rows.fetchall()]

        permits: list[Permit] = store.write(report_and_read)
        if not ready or not self._obeys:
            return None
        for permit in permits:
            # A permit names the incarnation that is to be followed by another: the new process has nothing to obey.
            if permit.incarnation == self._incarnation and self._guard.accept(permit.token):
                return permit
        return None
