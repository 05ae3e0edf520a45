"""Refusals tell the caller when to come back."""

import unittest

from helpers import arrival, ids, of, saturate, started

from cometdrum import interface as i


class Advice(unittest.TestCase):
    # Guards against refusals for load without advice (the inherited module gave it only when draining):
    # callers then came back at once and the thinned attempts returned as retries.
    def test_a_refusal_for_load_advises_one_to_two_polls(self) -> None:
        c = started()
        now = saturate(c, held=200)
        refused = of(c.handle(now, [arrival(1, rank=0.001)]), i.Refuse)
        self.assertEqual([r.reason for r in refused], ["load"])
        self.assertTrue(0.1 <= refused[0].advice <= 0.2, refused[0].advice)

    def test_a_site_that_passes_no_advice_on_gets_none(self) -> None:
        c = started(advice_max=None)
        now = saturate(c, held=200)
        self.assertEqual([r.advice for r in of(c.handle(now, [arrival(1, rank=0.001)]), i.Refuse)], [None])

    def test_a_leaving_instance_advises_the_longest(self) -> None:
        c = started(advice_max=0.7)
        actions = c.handle(1.0, [i.Drain(4.0)]) + c.handle(3.5, [arrival(1)])
        self.assertEqual(ids(actions, i.Refuse), [1])
        self.assertEqual(of(actions, i.Refuse)[0].advice, 0.7)
