"""The time of the kill after SIGTERM, which an upgrade may bring forward."""

from __future__ import annotations

import pytest
from scenario import SETTINGS, World, configuration

from lapishaven.server.graceful_shutdown import EXIT_MARGIN_S
from lapishaven.server.kill_time import seconds_to_kill

KILL_S = 3.7  # the deadlines of these settings are above 3 s


@pytest.mark.parametrize(
    ("stop_timeout_s", "inherited", "deadlines", "expected"),
    [
        (3.2, False, (5.6, 3.8), 3.2),
        (5.0, False, (1.0,), 5.0),
        (3.2, True, (5.6, 3.8), 3.2),
        (5.0, True, (5.6, 3.8), 3.7),  # a deadline counts as 3 s at the most
        (5.0, True, (1.0, 0.5), 1.7),
    ],
)
def test_on_an_inherited_socket_the_earlier_kill_counts(
    stop_timeout_s: float, inherited: bool, deadlines: tuple[float, ...], expected: float
) -> None:
    assert seconds_to_kill(stop_timeout_s, inherited, deadlines) == pytest.approx(expected)


class Upgrade(World):
    """An old process in an upgrade whose settings have a later kill than the platform's."""

    inherits = True

    def terminate_with_a_later_request(self) -> None:
        """SIGTERM, and 1.5 s later a request, whose deadline is after the kill."""
        self.play("""
            send server TERM
            expect c1 draining
            wait 1.5
            send c1 2 approve-commit
            expect vm APPLY c1.2
        """)

    # Guards the last answers of an upgrade: the old process went by stop_ms alone, and was killed with requests open.
    def test_an_old_process_answers_everything_before_the_kill_of_an_upgrade(self) -> None:
        self.files = configuration(vm="127.0.0.1:2", stop_ms=5000, settings=SETTINGS)
        self.play("expect vm CONNECT 0\nsend server HUP\nsend c1 1 fuzzy-match\nexpect vm APPLY c1.1")
        self.play("send vm OK c1.1\nexpect c1 result 1")
        self.terminate_with_a_later_request()
        self.wait(KILL_S - EXIT_MARGIN_S - 1.5)
        self.play("expect c1 failed 2")

    # Guards against a reload after SIGTERM that puts off the kill of an upgrade.
    def test_a_reload_after_the_notice_does_not_put_off_the_kill(self) -> None:
        self.play("expect vm CONNECT 0\nsend c1 1 fuzzy-match\nexpect vm APPLY c1.1\nsend vm OK c1.1")
        self.play("expect c1 result 1")
        self.terminate_with_a_later_request()
        self.files = configuration(vm="127.0.0.1:2", stop_ms=60_000, settings=SETTINGS)
        self.play("send server HUP")
        self.wait(KILL_S - EXIT_MARGIN_S - 1.5)
        self.play("expect c1 failed 2")
