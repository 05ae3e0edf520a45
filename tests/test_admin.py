"""The admin server, its metrics, and a listening socket that is shared with another process."""

from __future__ import annotations

import os
import socket

import pytest
from scenario import World, configuration

from lapishaven import config
from lapishaven.admin.server import MAX_CONNECTIONS
from lapishaven.net.listener import DescriptorBudget, Listener
from lapishaven.net.loop import Loop


class AdminServerBeforeStartup(World):
    banner = None  # the stand-in interpreter sends none by itself, so the server is not ready

    # Guards against readiness before the process can serve: an upgrade stops the old process once the new one is ready.
    def test_readyz_is_503_until_the_interpreter_is_connected_and_again_after_sigterm(self) -> None:
        self.play("""
            send h1 GET /v1/readyz
            expect h1 503
            send vm BANNER WARM
            send h2 GET /v1/readyz
            expect h2 200
            send server TERM
            send h3 GET /v1/readyz
            expect h3 503
        """)


class NewProcess(World):
    """A process started for an upgrade: its listening socket is inherited and its interpreter not yet connected."""

    banner = None
    inherits = True

    # Guards against a new process that accepts callers from the shared socket and rejects them as "not up yet".
    def test_a_new_process_accepts_from_the_shared_socket_only_once_it_is_ready(self) -> None:
        with socket.create_connection(self.held.getsockname()):
            self.wait(1.5)  # less than INHERITED_SOCKET_DELAY_S
            self.assertEqual(len(self.server.callers.sessions), 0)
            self.play("send vm BANNER WARM")
            self.assertEqual(len(self.server.callers.sessions), 1)

    # Guards against callers that are never accepted: no old process serves and the interpreter does not connect.
    def test_a_process_that_is_not_ready_accepts_from_the_shared_socket_after_a_delay(self) -> None:
        with socket.create_connection(self.held.getsockname()):
            self.wait(2.1)  # more than INHERITED_SOCKET_DELAY_S
            self.assertEqual(len(self.server.callers.sessions), 1)
            self.play("send c1 1 fuzzy-match\nexpect c1 refused 1")


class AdminServerRequests(World):
    # Guards against metrics from a second set of counts that differs from the responses that callers got.
    def test_metrics_count_responses_to_callers_by_class(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match
            send c1 2 approve-commit
            send h1 GET /v1/metrics
            expect h1 200 server_open_requests 2
            send vm OK c1.1
            send vm ERROR c1.2
            send h2 GET /v1/metrics
            expect h2 200 server_fulfilled{priority="fuzzy-match"} 1
        """)
        self.assertEqual(
            [self.server.counters.get(group, "approve-commit") for group in ("faulted", "relayed")], [1, 1]
        )

    # Guards against a silent or malformed admin request that delays the next one. 2.1 s is more than REQUEST_TIMEOUT_S.
    def test_a_silent_client_is_closed_and_a_malformed_request_gets_400(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send h1 raw GET
            send h2 raw BREW\\r\\n\\r\\n
            expect h2 400
            send h3 GET /v1/readyz
            expect h3 200
            wait 2.1
            expect h1 closed
        """)

    # Guards against admin connections that use up descriptors: beyond the limit the oldest one is closed.
    def test_connections_beyond_the_limit_close_the_oldest(self) -> None:
        admin = self.server.admin
        assert admin is not None
        silent = [socket.create_connection(admin.listener.address) for _ in range(MAX_CONNECTIONS + 3)]
        self.wait(0.5)
        self.assertEqual(
            (admin.listener.budget.used, self.server.counters.get("control", "evicted")), (MAX_CONNECTIONS, 3)
        )
        for sock in silent:
            sock.close()


def test_environment_variables_take_precedence_over_the_file() -> None:
    """Guards against a new process that binds the admin address of the old one during an upgrade."""
    parsed = config.parse_config(
        configuration(control="127.0.0.1:9"), {"NODE_CONTROL": "127.0.0.1:10", "NODE_INHERITED_FD": "3"}
    )
    assert (parsed.control, parsed.inherited_fd) == (("127.0.0.1", 10), 3)
    with pytest.raises(config.ConfigError, match="NODE_INHERITED_FD must be a descriptor of 3 or more, found 'x'"):
        config.parse_config(configuration(), {"NODE_INHERITED_FD": "x"})


def test_a_listener_that_closes_leaves_queued_connections_of_a_shared_socket_to_the_other() -> None:
    """Guards against an upgrade that refuses or drops connections: the old process closes only its own descriptor."""
    shared = socket.create_server(("127.0.0.1", 0))  # held open by the platform
    loop, accepted = Loop(), []  # type: Loop, list[socket.socket]
    # The address ("", 0) is not used, as the descriptor is inherited.
    old = Listener(loop, ("", 0), DescriptorBudget(64, 0), accepted.append, lambda: False, os.dup(shared.fileno()))
    new_fd = os.dup(shared.fileno())
    old.open()
    old.close()
    callers = [socket.create_connection(shared.getsockname()) for _ in range(3)]
    new = Listener(loop, ("", 0), DescriptorBudget(64, 0), accepted.append, lambda: False, new_fd)
    loop.round(0.1, lambda now: None)
    assert accepted == []
    new.open()
    loop.round(0.1, lambda now: None)
    assert len(accepted) == 3
    for sock in (*accepted, *callers, shared, new, loop):
        sock.close()
