"""What the policy wants done; a driver carries it out."""

from __future__ import annotations

from dataclasses import dataclass

from lapishaven.client.model import Attempt, Call, Connection, Endpoint
from lapishaven.client.outcomes import Outcome


@dataclass(frozen=True, slots=True)
class OpenConnection:
    connection: Connection


@dataclass(frozen=True, slots=True)
class SendRequest:
    connection: Connection
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Nobody waits for this try any more: send ``forget``, where the wire has it."""

    connection: Connection
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CloseConnection:
    connection: Connection


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask how the server is, on a connection of its own; the answer goes to ``probed``."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Ask how the server is on this connection; the answer goes to ``well``."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class CompleteCall:
    call: Call
    outcome: Outcome


Action = OpenConnection | SendRequest | CancelRequest | CloseConnection | CheckHealth | SendProbe | CompleteCall
