"""The control address, the figures it reports, and a listening socket shared with another process."""

from __future__ import annotations

import os
import socket

import pytest
from scenario import World, configuration

from lapishaven import config
from lapishaven.admin.server import MAX_CONNECTIONS
from lapishaven.net.listener import DescriptorBudget, Listener
from lapishaven.net.loop import Loop


class ControlBeforeUp(World):
    banner = None

    # Guards against a yes before the process can serve: the old one is stopped at the new one's yes.
    def test_readyz_says_no_until_the_interpreter_is_there_and_again_on_the_notice_to_leave(self) -> None:
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
    banner = None
    inherits = True

    # Guards against a new process that takes callers off the shared socket only to say "not up yet".
    def test_a_new_process_leaves_the_shared_socket_to_the_old_one_until_it_is_up(self) -> None:
        with socket.create_connection(self.held.getsockname()):
            self.wait(1.5)
            self.assertEqual(len(self.server.callers.sessions), 0)
            self.play("send vm BANNER WARM")
            self.assertEqual(len(self.server.callers.sessions), 1)

    # Guards against callers left unread for ever where no old process serves and the interpreter stays away.
    def test_it_takes_them_after_a_while_though_it_is_not_up(self) -> None:
        with socket.create_connection(self.held.getsockname()):
            self.wait(2.1)
            self.assertEqual(len(self.server.callers.sessions), 1)
            self.play("send c1 1 fuzzy-match\nexpect c1 refused 1")


class Control(World):
    # Guards against figures from a second tally that drifts from what callers got.
    def test_the_figures_count_what_callers_were_answered_by_class(self) -> None:
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
        self.assertEqual([self.server.counters.get(g, "approve-commit") for g in ("faulted", "relayed")], [1, 1])

    # Guards against a silent or garbled control caller that holds up the next call.
    def test_a_silent_caller_is_closed_and_a_garbled_one_told_400(self) -> None:
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

    # Guards against control callers that use up descriptors: past the limit the oldest makes room.
    def test_more_callers_than_the_limit_close_the_oldest(self) -> None:
        admin = self.server.admin
        assert admin is not None
        silent = [socket.create_connection(admin.listener.address) for _ in range(MAX_CONNECTIONS + 3)]
        self.wait(0.5)
        self.assertEqual(
            (admin.listener.budget.used, self.server.counters.get("control", "evicted")), (MAX_CONNECTIONS, 3)
        )
        for sock in silent:
            sock.close()


def test_the_environment_names_the_addresses_of_an_upgrade_before_the_file() -> None:
    """Guards against a new process of an upgrade that binds the old one's second address."""
    got = config.parse_config(
        configuration(control="127.0.0.1:9"), {"NODE_CONTROL": "127.0.0.1:10", "NODE_INHERITED_FD": "3"}
    )
    assert (got.control, got.inherited_fd) == (("127.0.0.1", 10), 3)
    with pytest.raises(config.ConfigError, match="NODE_INHERITED_FD must be a descriptor of 3 or more, found 'x'"):
        config.parse_config(configuration(), {"NODE_INHERITED_FD": "x"})


def test_two_processes_share_one_listening_socket_and_the_leaving_one_takes_nothing_queued() -> None:
    """Guards against an upgrade that refuses or drops a connection: the leaving side closes its copy only."""
    held = socket.create_server(("127.0.0.1", 0))  # the platform's
    loop, taken = Loop(), []  # type: Loop, list[socket.socket]
    old = Listener(loop, ("", 0), DescriptorBudget(64, 0), taken.append, lambda: False, os.dup(held.fileno()))
    new_fd = os.dup(held.fileno())
    old.open()
    old.close()
    callers = [socket.create_connection(held.getsockname()) for _ in range(3)]
    new = Listener(loop, ("", 0), DescriptorBudget(64, 0), taken.append, lambda: False, new_fd)
    loop.round(0.1, lambda now: None)
    assert taken == []
    new.open()
    loop.round(0.1, lambda now: None)
    assert len(taken) == 3
    for sock in (*taken, *callers, held, new, loop):
        sock.close()
