"""Refusals tell the caller when to come back."""

import unittest

from helpers import arrival, ids, of, poll, saturate, started

from lapishaven.admission import DrainRequested, Reject, SetHealth


class Advice(unittest.TestCase):
    # Guards against refusals for load without advice (the inherited module gave it only when draining):
    # callers then came back at once and the thinned attempts returned as retries.
    def test_a_refusal_for_load_advises_one_to_two_polls(self) -> None:
        c = started()
        now = saturate(c, held=200)
        refused = of(c.handle(now, [arrival(1, rank=0.001)]), Reject)
        self.assertEqual([r.reason for r in refused], ["load"])
        self.assertTrue(0.1 <= refused[0].retry_after <= 0.2, refused[0].retry_after)

    def test_a_site_that_passes_no_advice_on_gets_none(self) -> None:
        c = started(max_retry_after=None)
        now = saturate(c, held=200)
        self.assertEqual([r.retry_after for r in of(c.handle(now, [arrival(1, rank=0.001)]), Reject)], [None])

    def test_a_leaving_instance_advises_the_longest(self) -> None:
        c = started(max_retry_after=0.7)
        actions = c.handle(1.0, [DrainRequested(4.0)]) + c.handle(3.5, [arrival(1)])
        self.assertEqual(ids(actions, Reject), [1])
        self.assertEqual(of(actions, Reject)[0].retry_after, 0.7)


class NothingSaid(unittest.TestCase):
    """A site with no free value to send: the steady chance is still needed inside."""

    # Guards against a steady chance that stands still where ``say`` is None: no refusal ever asked callers
    # not to walk on, and the retries' reads ate the cores.
    def test_a_long_overload_asks_callers_not_to_try_elsewhere(self) -> None:
        c, now = started(load_signal=None), 0.0
        for n in range(40):
            now += 0.1
            c.handle(now, [arrival(100 * n + k, rank=0.999, age=1.5) for k in range(8)] + [poll(1.0, 8.0)])
        refused = of(c.handle(now, [arrival(9_999, rank=0.001)]), Reject)
        self.assertEqual([(r.reason, r.no_retry_elsewhere) for r in refused], [("load", True)])

    # Guards against a cold start that, once its health was bad, stays off the list for good.
    def test_a_cold_instance_gets_well_again(self) -> None:
        c, now = started(load_signal=None, slow_start=True), 0.0
        told = of(c.handle(0.1, [arrival(1, age=5.0), poll(1.0, 8.0)]), SetHealth)
        self.assertEqual([h.healthy for h in told], [False])
        told = []
        while not told and now < 30.0:
            now += 0.1
            told = of(c.handle(now + 0.1, [poll(0.3, 1.0)]), SetHealth)
        self.assertEqual([h.healthy for h in told], [True])
        self.assertLess(now, 5.0)
