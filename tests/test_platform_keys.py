"""Keyed classes, passed deadlines and tenants on the platform's front."""

from __future__ import annotations

from scenario import SETTINGS, World, settings

from lapishaven.core.deduplication import ClaimRegistry
from lapishaven.proto import jsonrpc

KEYED = {"effect": "guarded", "window": 5.0}


class Keyed(World):
    settings = settings([{}, KEYED])

    # Guards against a second run of one effect: each try has a name of its own, only the key links them.
    def test_a_repeat_while_the_first_try_runs_gets_its_result(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
            send c2 1 approve-commit key=k rep=1 body=c1.1
            expect vm nothing
            send vm OK c1.1
            expect c1 result 1
        """)
        self.assertIn(b'"result"', bytes(self.peers["c2"].data))

    def test_a_repeat_after_the_answer_gets_the_kept_result(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
            send vm OK c1.1
            expect c1 result 1
            wait 4.8
            send c2 1 approve-commit key=k rep=1 body=c1.1
            expect vm nothing
        """)
        self.assertIn(b'"result"', bytes(self.peers["c2"].data))

    def test_what_never_ran_leaves_its_key_free(self) -> None:
        self.play("""
            expect vm CONNECT 0
            close vm
        """)
        self.vm.banner = None
        self.play("""
            send c1 1 approve-commit key=k
            send c1 forget 1
            wait 0.1
            expect vm CONNECT 0
            send vm BANNER WARM
            send c2 1 approve-commit key=k rep=1 body=c1.1
            expect vm APPLY c1.1
        """)

    # Guards against a stranger that names another's key, and is given the result of what that one asked.
    def test_a_key_with_another_body_gets_no_result_and_spoils_none(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
            send c2 1 approve-commit key=k rep=1
            expect c2 failed 1       # while it runs
            send vm OK c1.1
            expect c1 result 1
            send c2 2 approve-commit key=k rep=1
            expect c2 failed 2       # and while its result is kept
            send c3 1 approve-commit key=k rep=1 body=c1.1
            expect vm nothing
        """)
        self.assertIn(b'"result"', bytes(self.peers["c3"].data))

    # Guards against a key that a stranger holds for its window: what the interpreter turns down never ran.
    def test_a_key_of_what_the_interpreter_turns_down_is_free_again(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
        """)
        self.vm.tell(f"ERROR APPLY {self.vm.handles['c1.1']}")
        self.play("""
            expect c1 refused 1
            send c2 1 approve-commit key=k
            expect vm APPLY c2.1
            send vm OK c2.1
            expect c2 result 1
        """)

    # Guards against a repeat that is failed although its effect was never begun, or refused although it was.
    def test_a_repeat_is_refused_only_if_its_first_try_never_ran(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
            send c2 1 approve-commit key=k rep=1 body=c1.1
            send vm ERROR c1.1
            expect c1 failed 1
            expect c2 failed 1
            close vm
        """)
        self.vm.banner = None
        self.play("""
            send c1 2 approve-commit key=n
            send c2 2 approve-commit key=n rep=1 body=c1.2
            wait 0.1
            expect vm CONNECT 1
            send vm BANNER WARM
            expect vm APPLY c1.2
        """)
        self.vm.tell(f"ERROR APPLY {self.vm.handles['c1.2']}")
        self.play("""
            expect c1 refused 2
            expect c2 refused 2
        """)

    def test_other_keys_and_classes_without_one_are_not_linked(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit key=k
            send c1 2 approve-commit key=n
            send c1 3 fuzzy-match key=k
            send c1 4 fuzzy-match key=k
            expect vm APPLY c1.1
            expect vm APPLY c1.2
            expect vm APPLY c1.3
            expect vm APPLY c1.4
        """)

    # Guards against a full guard that refuses what is new: a key is remembered for its window, not for minutes.
    def test_a_key_is_forgotten_after_its_window(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
            send vm OK c1.1
            expect c1 result 1
            wait 10
        """)
        assert self.server.broker is not None
        self.assertFalse(self.server.broker.guard.effects.is_full(self.now))
        self.assertEqual(len(self.server.broker.guard.effects), 0)


class Deadlines(World):
    settings = settings(**{"passes-deadline": True})

    # Guards against an answer after the caller's due time, which is what it passes on and not its class's deadline.
    def test_a_request_is_due_when_its_caller_says(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match ttl=1500
            expect vm APPLY c1.1
            wait 1.2
            expect c1 nothing
            wait 0.3
            expect c1 failed 1
        """)

    def test_no_caller_waits_longer_than_its_class_allows(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit ttl=900000
            expect vm APPLY c1.1
            wait 3.8
            expect c1 failed 1
        """)


class NotPassed(World):
    def test_what_is_no_setting_of_the_site_changes_nothing(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match ttl=100
            expect vm APPLY c1.1
            wait 2
            expect c1 nothing
        """)


class Tenants(World):
    settings = {
        **SETTINGS,
        "customers": [{"name": name, "portion": 0.5, "allowance-per-s": 20.0} for name in ("alpha", "beta")],
    }

    # Guards against all that is asked being booked to the first tenant, whose share it then is over.
    def test_a_request_is_booked_to_the_tenant_that_it_names(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match of=beta
            send c1 2 fuzzy-match of=beta
            send c1 3 fuzzy-match of=alpha
            send c1 4 fuzzy-match of=nobody
            send c1 5 fuzzy-match
        """)
        assert self.server.broker is not None
        self.assertEqual(self.server.broker.controller.rules.quotas.arrived, [1, 2])


def test_fields_out_of_their_range_are_errors() -> None:
    def told(extra: bytes) -> jsonrpc.Message:
        line = b'{"jsonrpc":"2.0","id":1,"method":"m","params":{"call":"0123456789abcdef","heap":1,%s}}\n' % extra
        return next(iter(jsonrpc.ServerParser().feed(line)))

    good = told(b'"dedupe":"k","ttl":250,"org":"a"')
    assert isinstance(good, jsonrpc.RunRequest) and (good.idempotency_key, good.time_left, good.tenant_name) == (
        "k",
        0.25,
        "a",
    )
    for bad in (
        b'"dedupe":7',
        b'"dedupe":""',
        b'"dedupe":"%s"' % (b"k" * 129),
        b'"dedupe":"a\\n"',
        b'"ttl":-1',
        b'"ttl":"x"',
        b'"ttl":1e300',
        b'"org":[]',
    ):
        assert isinstance(told(bad), jsonrpc.MalformedMessage), bad


def test_a_claim_may_have_a_life_of_its_own() -> None:
    guard = ClaimRegistry(900.0, 2)
    guard.claim(0.0, "long")
    guard.claim(1.0, "short", 5.0)
    assert guard.is_full(5.9)
    assert not guard.is_full(6.0)
    assert guard.is_claimed("long") and not guard.is_claimed("short")
    guard.claim(6.0, "short", 5.0)
    guard.release("short")
    guard.claim(7.0, "short", 10.0)
    guard.is_full(12.0)
    assert guard.is_claimed("short"), "the end of a claim that was released ends no later one"
