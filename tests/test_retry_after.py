"""Rejections tell the caller when to come back."""

import unittest

from helpers import arrival, ids, of, poll, saturate, started

from lapishaven.admission import DrainRequested, Reject, SetHealth


class RetryAfter(unittest.TestCase):
    # Guards against rejections for load without Retry-After: callers then come back at once, as retries.
    def test_a_rejection_for_load_has_a_retry_after_of_one_to_two_poll_intervals(self) -> None:
        controller = started()
        now = saturate(controller, held=200)
        rejected = of(controller.handle(now, [arrival(1, rank=0.001)]), Reject)
        self.assertEqual([r.reason for r in rejected], ["load"])
        self.assertTrue(0.1 <= rejected[0].retry_after <= 0.2, rejected[0].retry_after)

    def test_no_retry_after_where_callers_follow_none(self) -> None:
        controller = started(max_retry_after=None)
        now = saturate(controller, held=200)
        self.assertEqual([r.retry_after for r in of(controller.handle(now, [arrival(1, rank=0.001)]), Reject)], [None])

    def test_a_draining_instance_gives_the_longest_retry_after(self) -> None:
        controller = started(max_retry_after=0.7)
        actions = controller.handle(1.0, [DrainRequested(4.0)]) + controller.handle(3.5, [arrival(1)])
        self.assertEqual(ids(actions, Reject), [1])
        self.assertEqual(of(actions, Reject)[0].retry_after, 0.7)


class NoLoadSignal(unittest.TestCase):
    """A site where no load is published: the smoothed probability is still needed."""

    # Guards against a smoothed probability that is not updated where no load is published: no rejection would ask
    # callers not to retry elsewhere, and reading the retries would take the cores.
    def test_a_long_overload_asks_callers_not_to_retry_elsewhere(self) -> None:
        controller, now = started(load_signal=None), 0.0
        for n in range(40):
            now += 0.1
            controller.handle(now, [arrival(100 * n + k, rank=0.999, age=1.5) for k in range(8)] + [poll(1.0, 8.0)])
        rejected = of(controller.handle(now, [arrival(9_999, rank=0.001)]), Reject)
        self.assertEqual([(r.reason, r.no_retry_elsewhere) for r in rejected], [("load", True)])

    # Guards against an instance in slow start that, once unhealthy, stays so for good.
    def test_an_instance_in_slow_start_becomes_healthy_again(self) -> None:
        controller, now = started(load_signal=None, slow_start=True), 0.0
        published = of(controller.handle(0.1, [arrival(1, age=5.0), poll(1.0, 8.0)]), SetHealth)
        self.assertEqual([h.healthy for h in published], [False])
        published = []
        while not published and now < 30.0:
            now += 0.1
            published = of(controller.handle(now + 0.1, [poll(0.3, 1.0)]), SetHealth)
        self.assertEqual([h.healthy for h in published], [True])
        self.assertLess(now, 5.0)
