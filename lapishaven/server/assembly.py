"""Builds the server's descriptor budget, its backends and its load endpoint from the files."""

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

UWSGI = "uwsgi"  # name of the route to the uwsgi backend, or to the processes that it is balanced over
INTERPRETER = "interpreter"  # name of the route to the interpreter

RESERVED_DESCRIPTORS = 32  # for the program itself: streams, epoll, listeners, links and connections being closed
UWSGI_ATTEMPT_DESCRIPTORS = 64  # for attempts of the uwsgi backend, where there is one
RESERVE_PART = 4  # divisor of all descriptors that gives the largest reserve
RESERVE_PART_LOAD_BALANCED = 2  # likewise, where attempts are balanced over processes


@dataclass(frozen=True, slots=True)
class Backends:
    """The backends of one server."""

    by_name: dict[str, BackendDriver]  # by the names that contracts route to, the primary one first
    load_balanced: LoadBalancedBackend | None  # the uwsgi backend, where it is balanced over processes

    @property
    def primary(self) -> BackendDriver:
        """The one that runs what no contract routes elsewhere, and whose gauges the controller sees."""
        return next(iter(self.by_name.values()))


def descriptor_budget(files: ConfigFiles) -> DescriptorBudget:
    """The descriptors for callers' connections: the configured number without the program's own reserve."""
    if files.spread is not None:
        attempts = files.spread.attempts
    elif files.backend is not None:
        attempts = UWSGI_ATTEMPT_DESCRIPTORS
    else:
        attempts = 0
    admin_connections = MAX_ADMIN_CONNECTIONS if files.config.control else 0
    reserve = RESERVED_DESCRIPTORS + attempts + admin_connections
    part = RESERVE_PART_LOAD_BALANCED if files.spread is not None else RESERVE_PART
    descriptors = files.config.descriptors
    return DescriptorBudget(descriptors, min(reserve, descriptors // part))


def build_backends(
    files: ConfigFiles, loop: Loop, listener: BackendListener, counters: Counters, dial: Dial
) -> Backends:
    """The backends that the files name, and the interpreter where there is no other or a contract routes to it."""
    config = files.config
    by_name: dict[str, BackendDriver] = {}
    load_balanced: LoadBalancedBackend | None = None
    if files.backend is not None:
        deadlines = {spec.name: spec.deadline for spec in config.settings.classes}
        by_name[UWSGI] = UwsgiBackend(
            loop,
            files.backend.address,
            files.backend.path,
            config.settings.cores,
            deadlines,
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
    deadlines = {spec.name: spec.deadline for spec in config.settings.classes}
    # Servers with the same configuration must choose differently, or all would pick the same endpoint at once.
    random = Random(f"{config.seed}/{config.name}/{os.getpid()}/{time.time()}")
    return LoadBalancedBackend(loop, files.spread, config.settings.cores, deadlines, listener, counters, random, dial)


def build_load_endpoint(
    files: ConfigFiles, loop: Loop, broker: Callable[[], Broker | None], counters: Counters
) -> LoadEndpoint | None:
    """The endpoint that publishes this server's load, if the uwsgi frontend is to have one. Raises ``OSError``."""
    if files.front is None or not files.front.load_reports:
        return None
    from lapishaven.frontends.load_endpoint import LoadEndpoint

    config = files.config
    random = Random(f"{config.seed}/{os.getpid()}/{time.time()}")
    return LoadEndpoint(loop, files.front.listen, random, config.settings.cores, broker, counters)
