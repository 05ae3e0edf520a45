"""Reports this server's readiness to rolling restarts, and receives its permit to restart."""

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
    """``obeys``: whether this process shuts down when permitted. ``supervised``: whether its supervisor restarts it."""

    def __init__(self, member: str, incarnation: str, obeys: bool, supervised: bool) -> None:
        self._member = member
        self._incarnation = incarnation
        self._obeys = obeys
        self._supervised = supervised
        self._guard = restart.PermitGuard()

    def report(self, store: FencedStore, ready: bool) -> Permit | None:
        """Report whether this server is ready; returns a permit to obey now, if any. Raises ``FencedStoreError``."""

        def report_and_read(connection: sqlite3.Connection) -> list[Permit]:
            restart.report_member(connection, self._member, self._incarnation, ready, self._obeys or self._supervised)
            rows = connection.execute(
                "select token, start from restart_member where name = ? and state = 'permitted'", (self._member,)
            )
            return [Permit(*row) for row in rows.fetchall()]

        permits: list[Permit] = store.write(report_and_read)
        if not ready or not self._obeys:
            return None
        for permit in permits:
            # A permit names the incarnation to be replaced, so it does not apply to the process that replaced it.
            if permit.incarnation == self._incarnation and self._guard.accept(permit.token):
                return permit
        return None
