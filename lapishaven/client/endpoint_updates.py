"""Applies endpoint lists: updates which endpoints are tracked, and which may be dialled again."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from lapishaven.client.calls.waiting_calls import WaitingCalls
from lapishaven.client.connections.connectivity import Connectivity
from lapishaven.client.engine import Engine
from lapishaven.client.membership import ListVerdict, MembershipChange, rendezvous_subset
from lapishaven.proto.catalog import Delta, ServerList

APPLIED_VERDICTS = (ListVerdict.TAKEN, ListVerdict.HELD_BACK)
"""Verdicts of ``Membership`` that may change the tracked endpoints."""


class EndpointUpdates:
    """Applies the service registry's lists, and removes doubted endpoints after ``catalog_rules.confirm_s``."""

    def __init__(self, engine: Engine, connectivity: Connectivity, waiting: WaitingCalls) -> None:
        self._engine = engine
        self._table = connectivity.table
        self._dialer = connectivity.dialer
        self._waiting = waiting
        self._confirm_s = engine.settings.catalog_rules.confirm_s

    def update(self, now: float, listing: ServerList | Delta) -> ListVerdict:
        """Apply a full list or a delta; return the verdict (``MembershipChange.verdict``)."""
        membership = self._table.membership
        if isinstance(listing, Delta):
            change = membership.apply_delta(now, listing)
        else:
            change = membership.apply_list(now, listing)
        self._engine.report(now, f"list {change.verdict}", joined=change.joined, left=change.left)
        if change.doubted:
            self._engine.schedule(now + self._confirm_s, self._remove_expired)
        if change.verdict in APPLIED_VERDICTS:
            self._apply(now, change)
        return change.verdict

    def restore(self, now: float, data: bytes) -> ListVerdict:
        """Apply a list that an earlier process saved (``Membership.serialize``), before the first poll.

        Raises ``ProtocolError`` if ``data`` is not a list.
        """
        change = self._table.membership.restore(now, data)
        self._engine.report(now, f"list {change.verdict}", joined=change.joined, left=change.left, restored=True)
        if change.verdict is ListVerdict.TAKEN:
            self.update_tracked(now)
        return change.verdict

    def _apply(self, now: float, change: MembershipChange) -> None:
        for name in change.left:
            self._table.remove(name)
        if self._table.uses_aperture:
            self._allow_dials_to_returned(now, change.joined, change.left, change.changed)
        self.update_tracked(now)

    def _allow_dials_to_returned(
        self, now: float, joined: Iterable[str], left: Iterable[str], changed: Iterable[str]
    ) -> None:
        """Allow dials to endpoints that the list shows again."""
        for name in self._table.connection_manager.endpoints_changed(now, joined, left, changed):
            endpoint = self._table.endpoints.get(name)
            if endpoint is not None and endpoint.lost_at is not None and endpoint.lost_at < now:
                endpoint.lost_at = None  # it may be dialled in this client's next time slot

    def _remove_expired(self, now: float, _: Any) -> None:
        """Remove doubted endpoints that answered nothing for ``catalog_rules.confirm_s``."""
        table = self._table
        removed = table.membership.remove_expired(now)
        for name in removed:
            table.remove(name)
        if table.uses_aperture and removed:
            self._allow_dials_to_returned(now, (), removed, ())
        self.update_tracked(now)
        if table.membership.has_doubted:
            self._engine.schedule(now + self._confirm_s / 4, self._remove_expired)

    def update_tracked(self, now: float) -> None:
        """Track the endpoints of the current list that belong to this client's subset, and dial missing ones."""
        table = self._table
        if table.uses_aperture:
            table.track_window(now)
            self._dialer.ensure_connected(now)
            self._waiting.place_waiting(now)
            return
        subset_size = self._engine.settings.routing.subset
        names = rendezvous_subset(list(table.membership.names), subset_size, table.identity)
        table.track_subset(names)
        self._dialer.ensure_connected(now)
        table.routing.endpoints_changed(names)
        self._waiting.place_waiting(now)
