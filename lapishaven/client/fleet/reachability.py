"""Whether an endpoint may be dialled, by the endpoint list and by what the client itself has seen of it. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from lapishaven.client.fleet.dial_schedule import DeployInterval
from lapishaven.client.membership import Membership
from lapishaven.client.settings import Connections

MAX_AWAY_DOUBLINGS = 3  # of ``Connections.away_s``, one for each failed dial


class KnownEndpoint(Protocol):
    """What the decisions about dials read of a tracked endpoint (``model.Endpoint``)."""

    next_dial_at: float
    dial_failures: int
    lost_at: float | None
    suspected_since: float | None
    closed_idle_connection: bool

    @property
    def usable_connections(self) -> int:
        """Connections that are established or being dialled."""

    def recently_rejected(self, now: float) -> bool:
        """Whether it rejected an attempt lately."""

    @property
    def ejected(self) -> bool:
        """Whether it is ejected as an outlier."""


class Reachability:
    """Whether and when an endpoint may be dialled, by all that is known of it."""

    def __init__(
        self,
        rules: Connections,
        membership: Membership,
        endpoints: Mapping[str, KnownEndpoint],
        deploy_interval: DeployInterval,
        has_catalog: bool,
    ) -> None:
        """``has_catalog``: the endpoint list is watched, not fixed."""
        self._rules = rules
        self._membership = membership
        self._endpoints = endpoints
        self._deploy_interval = deploy_interval
        self._has_catalog = has_catalog

    def has_connection(self, name: str) -> bool:
        """Whether the endpoint is connected or being dialled."""
        endpoint = self._endpoints.get(name)
        return endpoint is not None and endpoint.usable_connections > 0

    def is_usable(self, name: str) -> bool:
        """Whether the endpoint has a connection and is not suspected of being unresponsive."""
        endpoint = self._endpoints.get(name)
        return endpoint is not None and endpoint.usable_connections > 0 and endpoint.suspected_since is None

    def closed_idle_connection(self, name: str) -> bool:
        """Whether the endpoint closed its last connection as idle."""
        endpoint = self._endpoints.get(name)
        return endpoint is not None and endpoint.closed_idle_connection

    def may_dial(self, now: float, name: str, urgent: bool, ignore_health: bool) -> bool:
        """Whether the endpoint is there, as far as is known.

        ``urgent``: a call waits, so an endpoint that closed an idle connection is dialled before the list shows it
        again: a server with many clients closes idle connections at once. ``ignore_health``: that of the list.
        """
        row = self._membership.row(name)
        if row is None or not (row.passing or ignore_health):
            return False
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return True
        if endpoint.ejected or endpoint.suspected_since is not None or self._deploy_interval.is_flapping(now, name):
            return False
        if endpoint.lost_at is None or not self._has_catalog:
            return True  # a fixed list will not show it again: the backoff of dials says when
        if urgent and endpoint.closed_idle_connection:
            return True
        # The list may be stale: each failed dial doubles the time to wait for it.
        away_s: float = self._rules.away_s * 2 ** min(endpoint.dial_failures, MAX_AWAY_DOUBLINGS)
        return now - endpoint.lost_at >= away_s

    def earliest_dial_at(self, now: float, name: str, urgent: bool = False) -> float:
        """When the endpoint may be dialled, by the backoff of its failed dials."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return now
        if urgent and not endpoint.dial_failures:
            return now  # the delay after a lost connection gives way to a call that waits
        return max(now, endpoint.next_dial_at)
