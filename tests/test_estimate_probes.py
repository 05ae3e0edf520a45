"""Probes: no estimate of run times rejects a class for good, and few requests pass one that is right."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import pytest
from helpers import arrival, load_sample, request_ids, settings
from instance_simulation import MATCH_SITE, POSTAL_SITE, InstanceSimulation, SiteClass

from lapishaven.admission import (
    Controller,
    Idempotency,
    Outcome,
    Reject,
    RequestClass,
    RunFinished,
    StartRun,
)
from lapishaven.admission.estimate_probes import FRESH_S, MAX_PAUSE_S, EstimateProbes
from lapishaven.admission.request import TrackedRequest
from lapishaven.lab.interpreter import Box
from lapishaven.pools import PoolSettings
from lapishaven.pools.settings import parse

SEEDS = range(1, 21)
SERVED_AGAIN_AFTER_S = 15.0
WATCHED_S = 20.0
LEAST_SERVED = 0.75  # of a class's requests in the watched time; not all, as some of a slow machine's runs are long
FIRM = RequestClass("firm", 1.0, 3.0, 1.0, Idempotency.IDEMPOTENT, 0.0, None, False, 0.0)


def pool_rules(site: Sequence[SiteClass]) -> PoolSettings:
    """One pool for each class, as in ``deploy/pools.toml``; the last one has the reserve."""
    names = [site_class.request_class.name for site_class in site]
    pools = [{"name": name, "classes": [name], "share": 0.3} for name in names]
    return parse({"pool": pools, "reserve": {"pool": names[-1], "share": 0.15, "ceiling": 0.6}}, names, 6)


def assert_served_again(simulation: InstanceSimulation) -> None:
    """Assert that each class is served from 15 s after now on."""
    since = simulation.now + SERVED_AGAIN_AFTER_S
    simulation.run(SERVED_AGAIN_AFTER_S + WATCHED_S + 6.0)
    shares = [simulation.served_share(index, since, since + WATCHED_S) for index in range(len(simulation.site))]
    assert min(shares) >= LEAST_SERVED, (simulation.seed, shares)


@pytest.mark.parametrize("with_pools", [False, True], ids=["plain", "pools"])
@pytest.mark.parametrize("site", [MATCH_SITE, POSTAL_SITE], ids=["match", "postal"])
class TestEveryClassIsServedAgain:
    """Guards against estimates that only completed runs correct, and that let none run."""

    def test_after_a_slow_span(self, site: Sequence[SiteClass], with_pools: bool) -> None:
        for seed in SEEDS:
            random = Random(seed)
            box = Box(speed=random.choice((0.6, 1.0, 1.15)))
            simulation = InstanceSimulation(site, box, seed, pool_rules=pool_rules(site) if with_pools else None)
            simulation.run(12.0)
            simulation.cores.factor = 1.0 / random.uniform(2.5, 10.0)
            simulation.run(random.uniform(10.0, 34.0))
            simulation.cores.factor = 1.0
            assert_served_again(simulation)

    def test_after_a_cold_start(self, site: Sequence[SiteClass], with_pools: bool) -> None:
        for seed in SEEDS:
            box = Box(speed=(0.5, 0.6, 1.0)[seed % 3], cold_from=0.24, cold_span_s=17.0)
            rules = pool_rules(site) if with_pools else None
            simulation = InstanceSimulation(site, box, seed, cold=True, pool_rules=rules)
            simulation.run(17.0)
            assert_served_again(simulation)


def tracked(request_id: int) -> TrackedRequest:
    return TrackedRequest(arrival(request_id), FIRM, 0.0)


# Guards the bound on the cost of probes: one at a time, none while the estimate is fresh, a pause as long as the last.
def test_one_probe_at_a_time_and_a_pause_as_long_as_it_took() -> None:
    probes = EstimateProbes(settings(classes=(FIRM,), tenants=()))
    probes.record_sample(0, 10.0)
    assert not probes.passes(tracked(1), 10.0 + FRESH_S - 0.01)
    first = tracked(2)
    assert probes.passes(first, 10.0 + FRESH_S) and probes.passes(first, 13.0)
    assert not probes.passes(tracked(3), 13.0)
    probes.end(tracked(3), 14.0)  # the end of another request changes nothing
    probes.end(first, 16.0)  # after 4 s
    assert not probes.passes(tracked(4), 19.9)
    second = tracked(5)
    assert probes.passes(second, 20.0)
    assert not probes.passes(tracked(6), 20.0 + MAX_PAUSE_S - 0.01)  # that one may hang
    assert probes.passes(tracked(7), 20.0 + MAX_PAUSE_S)
    assert probes.begun == 3


# Guards that a probe that never ran makes room for the next one, and that a probe beyond its time is still rejected.
def test_the_controller_lets_one_request_run_and_rejects_the_others() -> None:
    controller = Controller(settings(classes=(FIRM,), tenants=(), cores=1), 1)
    assert request_ids(controller.handle(0.0, [load_sample(), arrival(1)]), StartRun) == [1]
    controller.handle(2.5, [RunFinished(1, 2.5, Outcome.OK)])  # over the objective: the class looks hopeless
    assert request_ids(controller.handle(2.6, [arrival(2), arrival(3)]), Reject) == [2, 3]
    actions = controller.handle(2.5 + FRESH_S, [arrival(4), arrival(5), arrival(6)])
    assert (request_ids(actions, StartRun), request_ids(actions, Reject)) == ([4], [5, 6])
    controller.handle(4.8, [RunFinished(4, 0.3, Outcome.OK)])
    actions = controller.handle(4.8 + FRESH_S, [arrival(7)])
    assert request_ids(actions, StartRun) == [7]
    actions = controller.handle(6.9, [arrival(8, age=0.9)])
    assert request_ids(actions, Reject) == [8]  # the estimate is fresh again
    late = controller.handle(9.5, [arrival(9, age=1.5)])
    assert request_ids(late, Reject) == [9]  # past its objective, however short its run
