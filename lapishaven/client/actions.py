"""Actions that the policy returns. A driver executes them in order and reports the results."""

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
    """Send the request of an attempt on a connection; report the response by ``Policy.response_received``."""

    connection: Connection
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancel an attempt that no caller waits for any more: send ``forget`` if the wire protocol has it."""

    connection: Connection
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection, or abandon its dial. Nothing is reported back."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check an endpoint's health on a separate connection; report ``Policy.health_checked``."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Probe an endpoint on an open connection; report any answer by ``Policy.probe_answered``."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class CompleteCall:
    """Deliver a call's outcome to the application. Emitted exactly once for each call."""

    call: Call
    outcome: Outcome


Action = OpenConnection | SendRequest | CancelRequest | CloseConnection | CheckHealth | SendProbe | CompleteCall
