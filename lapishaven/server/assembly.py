"""Builds the server's descriptor budget, backends and load endpoint from the configuration files."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from lapishaven.admin.server import MAX_CONNECTIONS as MAX_ADMIN_CONNECTIONS
from lapishaven.backends import BackendDriver, BackendListener
from lapishaven.backends.interpreter import InterpreterBackend
from lapishaven.backends.uwsgi import UwsgiBackend
from lapishaven.config import ConfigFiles
from lapishaven.core.broker import Broker
from lapishaven.counters import Counters
from lapishaven.net.connection import Dial
from lapishaven.net.listener import DescriptorBudget
from lapishaven.net.loop import Loop

if TYPE_CHECKING:
    from lapishaven.backends.load_balanced import LoadBalancedBackend
    from lapishaven.frontends.load_endpoint import LoadEndpoint

UWSGI = "uwsgi"  # route name of the uwsgi backend, single or load-balanced
INTERPRETER = "interpreter"  # route name of the interpreter backend

RESERVED_DESCRIPTORS = 32  # standard streams, epoll, listeners, backend and catalog links, connections being closed
UWSGI_ATTEMPT_DESCRIPTORS = 64  # for concurrent attempts of a uwsgi backend that is not load-balanced
RESERVE_DIVISOR = 4  # the reserve is at most this fraction (1/4) of all descriptors
LOAD_BALANCED_RESERVE_DIVISOR = 2  # the same limit (1/2) with a load-balanced backend


@dataclass(frozen=True, slots=True)
class Backends:
    """The backends of one server."""

    by_name: dict[str, BackendDriver]  # by route name, the primary backend first
    load_balanced: LoadBalancedBackend | None  # the uwsgi backend if it is load-balanced, else None

    @property
    def primary(self) -> BackendDriver:
        """The backend of requests without a contract route; its load samples go to the admission controller."""
        return next(iter(self.by_name.values()))


def descriptor_budget(files: ConfigFiles) -> DescriptorBudget:
    """The descriptors for callers' connections: the configured number minus the reserve of the process."""
    if files.spread is not None:
        attempts = files.spread.attempts
    elif files.backend is not None:
        attempts = UWSGI_ATTEMPT_DESCRIPTORS
    else:
        attempts = 0
    admin_connections = MAX_ADMIN_CONNECTIONS if files.config.control else 0
    reserve = RESERVED_DESCRIPTORS + attempts + admin_connections
    divisor = LOAD_BALANCED_RESERVE_DIVISOR if files.spread is not None else RESERVE_DIVISOR
    descriptors = files.config.descriptors
    return DescriptorBudget(descriptors, min(reserve, descriptors // divisor))


def build_backends(
    files: ConfigFiles, loop: Loop, listener: BackendListener, counters: Counters, dial: Dial
) -> Backends:
    """Build the configured backends, and the interpreter if there is no other or a contract routes to it."""
    config = files.config
    by_name: dict[str, BackendDriver] = {}
    load_balanced: LoadBalancedBackend | None = None
    if files.backend is not None:
        by_name[UWSGI] = UwsgiBackend(
            loop,
            files.backend.address,
            files.backend.path,
            config.settings.cores,
            listener,
            counters,
            dial,
        )
    if files.spread is not None:
        load_balanced = _build_load_balanced_backend(files, loop, listener, counters, dial)
        by_name[UWSGI] = load_balanced
    if not by_name or any(contract.route == INTERPRETER for contract in files.contracts or []):
        by_name[INTERPRETER] = InterpreterBackend(loop, config.interpreter, config.gauges, listener, counters, dial)
    return Backends(by_name, load_balanced)


def _build_load_balanced_backend(
    files: ConfigFiles, loop: Loop, listener: BackendListener, counters: Counters, dial: Dial
) -> LoadBalancedBackend:
    from lapishaven.backends.load_balanced import LoadBalancedBackend

    assert files.spread is not None
    config = files.config
    # The seed includes the process id and the time: servers that share a configuration and a random sequence would
    # all choose the same endpoint at the same moment.
    random = Random(f"{config.seed}/{config.name}/{os.getpid()}/{time.time()}")
    return LoadBalancedBackend(loop, files.spread, config.settings.cores, listener, counters, random, dial)


def build_load_endpoint(
    files: ConfigFiles, loop: Loop, broker: Callable[[], Broker | None], counters: Counters
) -> LoadEndpoint | None:
    """Build the load endpoint if the uwsgi frontend has load reports enabled.

    Raises ``OSError`` if its address cannot be bound."""
    if files.front is None or not files.front.load_reports:
        return None
    from lapishaven.frontends.load_endpoint import LoadEndpoint

    config = files.config
    random = Random(f"{config.seed}/{os.getpid()}/{time.time()}")
    return LoadEndpoint(loop, files.front.listen, random, config.settings.cores, broker, counters)
