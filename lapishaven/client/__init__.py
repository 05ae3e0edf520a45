"""Client library for match servers: deadlines, marked retries, Retry-After, and no retry or reconnect storms.

It can be imported without the server. ``Client`` is for asyncio, ``BlockingClient`` for threads. ``Policy`` is the
pure core of both, for use by other drivers.
"""

from lapishaven.client.asyncio_client import Client
from lapishaven.client.blocking_client import BlockingClient
from lapishaven.client.outcomes import (
    CallError,
    Cancelled,
    CancelledCallError,
    Expired,
    ExpiredError,
    Failed,
    FailedError,
    Outcome,
    Refused,
    RefusedError,
    Served,
    Uncertain,
    UncertainError,
)
from lapishaven.client.policy import Policy
from lapishaven.client.settings import ClassRule, Settings, SettingsError, load

__all__ = [
    "BlockingClient",
    "CallError",
    "Cancelled",
    "CancelledCallError",
    "ClassRule",
    "Client",
    "Expired",
    "ExpiredError",
    "Failed",
    "FailedError",
    "Outcome",
    "Policy",
    "Refused",
    "RefusedError",
    "Served",
    "Settings",
    "SettingsError",
    "Uncertain",
    "UncertainError",
    "load",
]
