"""What the policy wants done. A driver carries the actions out in their order and reports the results."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.client.model import Attempt, Call, Connection, Endpoint
from lapishaven.client.outcomes import Outcome


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Dial ``connection.endpoint``; report ``Policy.connected`` or ``Policy.dial_failed``."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send the request of an attempt on a connection; report its response by ``Policy.response_received``."""

    connection: Connection
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Nobody waits for this attempt any more: send ``forget``, where the wire has it."""

    connection: Connection
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection, or give up its dial. There is nothing to report."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check an endpoint's health on a connection of its own; report ``Policy.health_checked``."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Probe an endpoint on an open connection; report any answer by ``Policy.probe_answered``."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class CompleteCall:
    """Give a call's outcome to the application. Comes once for each call."""

    call: Call
    outcome: Outcome


Action = OpenConnection | SendRequest | CancelRequest | CloseConnection | CheckHealth | SendProbe | CompleteCall
