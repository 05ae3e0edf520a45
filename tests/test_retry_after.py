"""Retry-After and the advice not to retry elsewhere in rejections."""

import unittest

from helpers import actions_of, arrival, load_sample, request_ids, saturate, started_controller

from lapishaven.admission import DrainRequested, Reject, SetHealth


class RetryAfter(unittest.TestCase):
    # Guards against rejections for load without Retry-After, after which callers retry at once.
    def test_a_rejection_for_load_has_a_retry_after_of_one_to_two_poll_intervals(self) -> None:
        controller = started_controller()
        now = saturate(controller, queued=200)
        rejected = actions_of(controller.handle(now, [arrival(1, rank=0.001)]), Reject)
        self.assertEqual([r.reason for r in rejected], ["load"])
        self.assertTrue(0.1 <= rejected[0].retry_after <= 0.2, rejected[0].retry_after)

    def test_no_retry_after_if_callers_honour_none(self) -> None:
        controller = started_controller(max_retry_after=None)
        now = saturate(controller, queued=200)
        self.assertEqual(
            [r.retry_after for r in actions_of(controller.handle(now, [arrival(1, rank=0.001)]), Reject)], [None]
        )

    def test_a_draining_instance_gives_the_longest_retry_after(self) -> None:
        controller = started_controller(max_retry_after=0.7)
        actions = controller.handle(1.0, [DrainRequested(4.0)]) + controller.handle(3.5, [arrival(1)])
        self.assertEqual(request_ids(actions, Reject), [1])
        self.assertEqual(actions_of(actions, Reject)[0].retry_after, 0.7)


class NoLoadSignal(unittest.TestCase):
    """Without a published load the smoothed rejection probability is still needed."""

    # Guards against a smoothed probability that is not updated if no load is published: rejections would never ask
    # callers not to retry elsewhere, and reading the retries would occupy the cores.
    def test_a_long_overload_asks_callers_not_to_retry_elsewhere(self) -> None:
        controller, now = started_controller(load_signal=None), 0.0
        for step in range(40):
            now += 0.1
            controller.handle(
                now, [arrival(100 * step + k, rank=0.999, age=1.5) for k in range(8)] + [load_sample(1.0, 8.0)]
            )
        rejected = actions_of(controller.handle(now, [arrival(9_999, rank=0.001)]), Reject)
        self.assertEqual([(r.reason, r.no_retry_elsewhere) for r in rejected], [("load", True)])

    # Guards against an instance in slow start that never becomes healthy again once it is unhealthy.
    def test_an_instance_in_slow_start_becomes_healthy_again(self) -> None:
        controller, now = started_controller(load_signal=None, slow_start=True), 0.0
        published = actions_of(controller.handle(0.1, [arrival(1, age=5.0), load_sample(1.0, 8.0)]), SetHealth)
        self.assertEqual([h.healthy for h in published], [False])
        published = []
        while not published and now < 30.0:
            now += 0.1
            published = actions_of(controller.handle(now + 0.1, [load_sample(0.3, 1.0)]), SetHealth)
        self.assertEqual([h.healthy for h in published], [True])
        self.assertLess(now, 5.0)
