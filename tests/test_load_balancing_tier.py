"""Load balancing with real processes: frontends that balance over match servers, with faults injected.

Frontends are named f0, f1, ..., match servers b0, b1, ...; "hands" is the process of their stand-in interpreters.
"""

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

STOP_DURATION_S = 2.2  # longer than any latency objective


def run_load(tier: Tier, rate: float, seconds: float, inject_faults: Callable[[], Awaitable[None]]) -> list[Call]:
    """Generate load while ``inject_faults`` runs; return all calls."""

    async def run_both() -> list[Call]:
        calls, _ = await asyncio.gather(tier.load(rate, seconds), inject_faults())
        return calls

    return asyncio.run(run_both())


def missed_objective(calls: list[Call], objective_s: float = 1.5) -> list[Call]:
    """The calls that failed or exceeded the latency objective, except commits, which are not idempotent."""
    return [
        call
        for call in calls
        if call.class_name != "approve-commit" and (call.status != 200 or call.duration_s > objective_s)
    ]


def test_a_stopped_process_delays_no_idempotent_call_and_runs_nothing_twice_when_it_resumes() -> None:
    """Guards failure detection: without it, calls in flight at the stopped process and calls sent to it while it is
    stopped are answered only after it resumes."""
    with ProcessHarness() as field, Tier(field, 3, [1.0] * 5, seed=3, slots=8) as tier:

        async def stop() -> None:
            await asyncio.sleep(0.8)
            field.stop("b1")
            await asyncio.sleep(STOP_DURATION_S)
            field.resume("b1")

        calls = run_load(tier, 0.5 * tier.capacity(), 3.6, stop)
        assert len(calls) > 100
        assert not missed_objective(calls)
        assert all(call.status in (200, 502, 504) for call in calls)
        report = tier.report()
        assert report["twice"] == 0
        assert sum(process == 1 for _, process in report["began"]) > 10  # b1 got its share of the calls


def test_killed_failing_unresponsive_draining_and_removed_processes_cost_few_calls_and_run_no_commit_twice() -> None:
    """Guards against faults other than a stopped process: a process killed with runs in flight that restarts cold, one
    whose runs all fail immediately, an address that accepts connections but never answers, a process that drains, and
    one that is removed from the address list."""
    with (
        socket.create_server(("127.0.0.1", 0)) as unresponsive,
        ProcessHarness() as field,
        Tier(field, 3, [1.0] * 8, seed=5, slots=8, extra_ports=[unresponsive.getsockname()[1]]) as tier,
    ):

        async def inject_faults() -> None:
            await asyncio.sleep(0.6)
            field.kill("b1")
            field.send_command("hands", cold=1)  # the interpreter of b1 loses its runs and restarts cold
            field.send_command("hands", fail=[2, True])  # from now on every run at b2 fails immediately
            await asyncio.sleep(0.8)
            field.start_server("b1")
            field.processes["b3"].popen.terminate()  # drains: runs in flight are completed
            await asyncio.sleep(0.8)
            field.send_command("hands", fail=[2, False])
            tier.listed = [name for name in tier.listed if name != "b4"]
            tier.reload()

        calls = run_load(tier, 0.4 * tier.capacity(), 4.0, inject_faults)
        report = tier.report()
        assert report["twice"] == 0
        failed = [call for call in calls if call.status != 200]
        assert len(failed) < 0.06 * len(calls)  # runs of the killed process, and failed runs at b2
        assert all(call.status in (502, 503, 504) for call in failed)
        assert len([call for call in calls if call.status == 200 and call.duration_s > 1.5]) < 0.01 * len(calls)
        last_start = max(at for at, _ in report["began"])
        recent_runs = Counter(process for at, process in report["began"] if at > last_start - 0.8)
        assert not recent_runs[3] and not recent_runs[4]  # b3 is drained, b4 is removed
        assert recent_runs[2]  # b2 no longer fails, and is used again


def test_a_commit_at_a_stopped_process_fails_early_as_uncertain_and_does_not_run_when_it_resumes() -> None:
    """Guards a commit, which is not idempotent, that a stopped process has not read: it is not retried, its caller gets
    an answer well before the deadline, and the abandoned commit does not run later."""
    with ProcessHarness() as field, Tier(field, 1, [1.0] * 2, seed=6, slots=8) as tier:

        async def scenario() -> None:
            async def call_commits(count: int, batch: bytes) -> list[Call]:
                now = asyncio.get_running_loop().time()
                return list(
                    await asyncio.gather(
                        *(tier.call("f0", "approve-commit", b"once %s %d" % (batch, n), now) for n in range(count))
                    )
                )

            assert {call.status for call in await call_commits(8, b"a")} == {200}
            field.stop("b0")
            calls = await call_commits(12, b"b")
            uncertain = [call for call in calls if call.status != 200]
            assert uncertain and {call.status for call in uncertain} == {502}
            assert max(call.duration_s for call in uncertain) < 1.5 < 3.8  # 3.8 s is the deadline of a commit
            assert all(call.status == 200 for call in await call_commits(4, b"c"))  # none is sent to b0
            before = tier.report()
            field.resume("b0")
            tier.ready(["b0"])
            assert {call.status for call in await call_commits(6, b"d")} == {200}
            after = tier.report()
            assert before["twice"] == after["twice"] == 0
            # Every commit of the four batches ran once, except the uncertain ones, which never ran.
            assert len(before["began"]) + len(after["began"]) == 8 + 12 - len(uncertain) + 4 + 6

        asyncio.run(scenario())


def test_frontends_that_all_restart_at_once_do_not_choose_the_same_processes() -> None:
    """Guards against herding: frontends without any load data at the same time must spread their first choices."""
    with ProcessHarness() as field, Tier(field, 6, [1.0] * 12, seed=7, slots=4) as tier:
        for name in tier.fronts:
            field.kill(name)
        for name in tier.fronts:
            field.start_server(name)
        tier.ready(tier.fronts)
        calls = run_load(tier, 0.7 * tier.capacity(), 2.5, lambda: asyncio.sleep(0))
        assert not missed_objective(calls)
        starts = tier.report()["began"]
        first_runs = Counter(process for at, process in starts if at < starts[0][0] + 1.0)
        # In the first second each of the 12 processes is chosen, and none more than twice as often as the mean.
        assert max(first_runs.values()) < 2.0 * sum(first_runs.values()) / 12 and len(first_runs) == 12


def test_operators_see_the_state_of_each_process_and_the_costs_behind_each_choice(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards the ``spread`` commands and the metrics, read from a frontend while it serves."""
    with ProcessHarness() as field, Tier(field, 1, [1.0] * 3, seed=8, slots=8) as tier:
        field.stop("b2")
        calls = run_load(tier, 0.3 * tier.capacity(), 1.5, lambda: asyncio.sleep(0))
        assert len(calls) > 10
        control_address = f"127.0.0.1:{tier.controls['f0']}"
        assert command.status(control_address, False) == 1  # b2 is unresponsive
        output = capfd.readouterr().out
        assert output.count("silent") == 1 and output.count(" ok ") == 2
        assert command.explain(control_address, 5) == 0
        assert "chosen" in capfd.readouterr().out
        metrics = command.fetch(control_address, "/v1/metrics").decode()
        assert 'server_spread_processes{standing="silent"} 1' in metrics and "server_spread_probes " in metrics
        field.resume("b2")
        with pytest.raises(
            BalancingSettingsError,
            match="GET /v1/spread from 127.0.0.1:.*: status 404; only a server started with --spread has this page",
        ):
            command.status(f"127.0.0.1:{tier.controls['b0']}", False)  # a match server runs without --spread
        with pytest.raises(
            BalancingSettingsError,
            match="GET /v1/spread from the admin server at 127.0.0.1:1 failed: .*Connection refused",
        ):
            command.status("127.0.0.1:1", False)
