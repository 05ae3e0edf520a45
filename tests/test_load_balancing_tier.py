"""Spreading on real processes: fronts before processes of the program, and faults between them."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from lapishaven.lab.field import ProcessHarness
from lapishaven.lab.field.tier import Call, Tier
from lapishaven.load_balancing import command
from lapishaven.load_balancing.settings import BalancingSettingsError

STOPS = 2.2  # s, more than any aim


def play(tier: Tier, rate: float, seconds: float, faults: Callable[[], Awaitable[None]]) -> list[Call]:
    async def both() -> list[Call]:
        calls, _ = await asyncio.gather(tier.load(rate, seconds), faults())
        return calls

    return asyncio.run(both())


def late(calls: list[Call], aim: float = 1.5) -> list[Call]:
    return [
        call for call in calls if call.class_name != "approve-commit" and (call.status != 200 or call.duration_s > aim)
    ]


def test_a_stopped_process_costs_no_safe_call_its_aim_and_runs_nothing_twice_when_it_wakes() -> None:
    """Guards the judging of silence: without it what waits on the stopped process, and what is sent there while it is
    stopped, comes after its wake."""
    with ProcessHarness() as field, Tier(field, 3, [1.0] * 5, seed=3, slots=8) as tier:

        async def stop() -> None:
            await asyncio.sleep(0.8)
            field.stop("b1")
            await asyncio.sleep(STOPS)
            field.resume("b1")

        calls = play(tier, 0.5 * tier.capacity(), 3.6, stop)
        assert len(calls) > 100
        assert not late(calls)
        assert all(call.status in (200, 502, 504) for call in calls)
        report = tier.report()
        assert report["twice"] == 0
        assert sum(number == 1 for _, number in report["began"]) > 10  # it had its part


def test_dead_failing_mute_and_leaving_processes_cost_little_and_no_commit_runs_twice() -> None:
    """Guards the tier from the faults that are no silence: a kill with work in hand and a return cold, runs that all
    fail at once, an address that accepts and says nothing, a process that drains, one that is taken off the list."""
    with (
        socket.create_server(("127.0.0.1", 0)) as mute,
        ProcessHarness() as field,
        Tier(field, 3, [1.0] * 8, seed=5, slots=8, extra_ports=[mute.getsockname()[1]]) as tier,
    ):

        async def faults() -> None:
            await asyncio.sleep(0.6)
            field.kill("b1")
            field.send_command("hands", cold=1)
            field.send_command("hands", fail=[2, True])
            await asyncio.sleep(0.8)
            field.start_server("b1")
            field.processes["b3"].popen.terminate()  # drains: what it has is answered
            await asyncio.sleep(0.8)
            field.send_command("hands", fail=[2, False])
            tier.listed = [name for name in tier.listed if name != "b4"]
            tier.reload()

        calls = play(tier, 0.4 * tier.capacity(), 4.0, faults)
        report = tier.report()
        assert report["twice"] == 0
        lost = [call for call in calls if call.status != 200]
        assert len(lost) < 0.06 * len(calls)  # what ran at the killed one, and what failed
        assert all(call.status in (502, 503, 504) for call in lost)
        assert len([call for call in calls if call.status == 200 and call.duration_s > 1.5]) < 0.01 * len(calls)
        last = max(at for at, _ in report["began"])
        began = Counter(number for at, number in report["began"] if at > last - 0.8)
        assert not began[3] and not began[4]  # the one that left and the one that is off the list
        assert began[2]  # the one that failed has its part again


def test_a_commit_on_a_stopped_process_is_told_uncertain_early_and_does_not_run_when_it_wakes() -> None:
    """Guards a commit that lies unread in a stopped process: it goes nowhere else, its caller hears in time, and what
    is given up by then does not run."""
    with ProcessHarness() as field, Tier(field, 1, [1.0] * 2, seed=6, slots=8) as tier:

        async def work() -> None:
            async def commits(count: int, mark: bytes) -> list[Call]:
                now = asyncio.get_running_loop().time()
                return list(
                    await asyncio.gather(
                        *(tier.call("f0", "approve-commit", b"once %s %d" % (mark, n), now) for n in range(count))
                    )
                )

            assert {call.status for call in await commits(8, b"a")} == {200}
            field.stop("b0")
            found = await commits(12, b"b")
            uncertain = [call for call in found if call.status != 200]
            assert uncertain and {call.status for call in uncertain} == {502}
            assert max(call.duration_s for call in uncertain) < 1.5 < 3.8  # of the deadline
            assert all(call.status == 200 for call in await commits(4, b"c"))  # nothing more goes there
            before = tier.report()
            field.resume("b0")
            tier.ready(["b0"])
            assert {call.status for call in await commits(6, b"d")} == {200}
            after = tier.report()
            assert before["twice"] == after["twice"] == 0
            assert len(before["began"]) + len(after["began"]) == 8 + 12 - len(uncertain) + 4 + 6

        asyncio.run(work())


def test_fronts_that_are_all_started_again_in_one_second_do_not_act_alike() -> None:
    """Guards against a herd of choosers that know nothing at the same moment."""
    with ProcessHarness() as field, Tier(field, 6, [1.0] * 12, seed=7, slots=4) as tier:
        for name in tier.fronts:
            field.kill(name)
        for name in tier.fronts:
            field.start_server(name)
        tier.ready(tier.fronts)
        calls = play(tier, 0.7 * tier.capacity(), 2.5, lambda: asyncio.sleep(0))
        assert not late(calls)
        began = tier.report()["began"]
        first = Counter(number for at, number in began if at < began[0][0] + 1.0)
        assert max(first.values()) < 2.0 * sum(first.values()) / 12 and len(first) == 12


def test_operators_see_what_is_known_of_each_process_and_why_choices_fell(capfd: pytest.CaptureFixture[str]) -> None:
    """Guards the commands and the gauges, against a front that is asked while it serves."""
    with ProcessHarness() as field, Tier(field, 1, [1.0] * 3, seed=8, slots=8) as tier:
        field.stop("b2")
        calls = play(tier, 0.3 * tier.capacity(), 1.5, lambda: asyncio.sleep(0))
        assert len(calls) > 10
        where = f"127.0.0.1:{tier.controls['f0']}"
        assert command.status(where, False) == 1  # one is silent
        rows = capfd.readouterr().out
        assert rows.count("silent") == 1 and rows.count(" ok ") == 2
        assert command.explain(where, 5) == 0
        assert "chosen" in capfd.readouterr().out
        figures = command.fetch(where, "/v1/metrics").decode()
        assert 'server_spread_processes{standing="silent"} 1' in figures and "server_spread_probes " in figures
        field.resume("b2")
        with pytest.raises(BalancingSettingsError, match="does not spread"):
            command.status(f"127.0.0.1:{tier.controls['b0']}", False)
        with pytest.raises(BalancingSettingsError, match="cannot ask"):
            command.status("127.0.0.1:1", False)
