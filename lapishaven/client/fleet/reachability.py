"""Whether an endpoint may be dialled, by the endpoint list and the client's own observations. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from lapishaven.client.fleet.dial_schedule import DeployInterval
from lapishaven.client.membership import Membership
from lapishaven.client.settings import Connections

MAX_AWAY_DOUBLINGS = 3  # each failed dial doubles ``Connections.away_s``, up to this often


class KnownEndpoint(Protocol):
    """The attributes of a tracked endpoint (``model.Endpoint``) that decisions about dials use."""

    next_dial_at: float
    dial_failures: int
    lost_at: float | None
    suspected_since: float | None
    closed_idle_connection: bool

    @property
    def usable_connections(self) -> int:
        """The number of connections that are established or being dialled."""

    def recently_rejected(self, now: float) -> bool:
        """Whether it rejected an attempt recently."""

    @property
    def ejected(self) -> bool:
        """Whether it is ejected as an outlier."""


class Reachability:
    """Decides whether and when an endpoint may be dialled."""

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
        """Whether the endpoint is assumed to be available for a dial.

        ``urgent``: a call waits, so an endpoint that closed an idle connection is dialled without waiting for the list
        to show it again, as servers with many clients close idle connections at once. ``ignore_health``: ignore the
        health in the list.
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
            return True  # a fixed list never shows a return; the dial backoff sets the time
        if urgent and endpoint.closed_idle_connection:
            return True
        # The list may be stale: each failed dial doubles the delay.
        away_s: float = self._rules.away_s * 2 ** min(endpoint.dial_failures, MAX_AWAY_DOUBLINGS)
        return now - endpoint.lost_at >= away_s

    def earliest_dial_at(self, now: float, name: str, urgent: bool = False) -> float:
        """Return when the endpoint may be dialled, by its backoff after failed dials."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return now
        if urgent and not endpoint.dial_failures:
            return now  # a waiting call overrides the delay after a lost connection
        return max(now, endpoint.next_dial_at)
