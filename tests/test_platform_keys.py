"""Idempotency keys, propagated deadlines and tenants on the platform frontend."""

from __future__ import annotations

from scenario import SETTINGS, World, settings

from lapishaven.core.deduplication import ClaimRegistry
from lapishaven.proto import jsonrpc

KEYED = {"effect": "guarded", "window": 5.0}


class IdempotencyKeys(World):
    settings = settings([{}, KEYED])

    # Guards against running an effect twice: every attempt has its own id, so only the key identifies duplicates.
    def test_a_duplicate_that_arrives_during_the_run_gets_its_result(self) -> None:
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

    def test_a_duplicate_that_arrives_after_the_answer_gets_the_stored_result(self) -> None:
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

    def test_a_request_that_never_ran_frees_its_key(self) -> None:
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

    # Guards against a caller that sends the key of another caller and gets the result of that caller's request.
    def test_a_request_with_a_used_key_and_another_body_gets_no_result_and_does_not_affect_the_original(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit key=k
            expect vm APPLY c1.1
            send c2 1 approve-commit key=k rep=1
            expect c2 failed 1       # during the run
            send vm OK c1.1
            expect c1 result 1
            send c2 2 approve-commit key=k rep=1
            expect c2 failed 2       # while its result is stored
            send c3 1 approve-commit key=k rep=1 body=c1.1
            expect vm nothing
        """)
        self.assertIn(b'"result"', bytes(self.peers["c3"].data))

    # Guards against a key that stays claimed although the interpreter rejected the request, which then never ran.
    def test_the_key_of_a_request_that_the_interpreter_rejects_is_freed(self) -> None:
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

    # Guards against a duplicate that is failed although its effect never started, or rejected although it did.
    def test_a_duplicate_is_rejected_only_if_its_original_never_ran(self) -> None:
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

    def test_requests_with_other_keys_or_of_classes_without_keys_are_not_duplicates(self) -> None:
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

    # Guards against a full execution guard that rejects new requests: a key is kept for its window, not for minutes.
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

    # Guards against an answer after the deadline that the caller sent, which is earlier than that of the class.
    def test_a_request_is_answered_by_the_deadline_that_its_caller_sent(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 fuzzy-match ttl=1500
            expect vm APPLY c1.1
            wait 1.2
            expect c1 nothing
            wait 0.3
            expect c1 failed 1
        """)

    def test_a_request_is_answered_by_the_deadline_of_its_class_at_the_latest(self) -> None:
        self.play("""
            expect vm CONNECT 0
            send c1 1 approve-commit ttl=900000
            expect vm APPLY c1.1
            wait 3.8
            expect c1 failed 1
        """)


class DeadlinesNotPropagated(World):
    def test_the_caller_s_deadline_is_ignored_if_the_settings_do_not_propagate_deadlines(self) -> None:
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

    # Guards against counting all requests for the first tenant, which then exceeds its quota.
    def test_a_request_counts_for_the_tenant_that_it_names(self) -> None:
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


def test_fields_outside_their_range_are_malformed() -> None:
    def parse(extra: bytes) -> jsonrpc.Message:
        line = b'{"jsonrpc":"2.0","id":1,"method":"m","params":{"call":"0123456789abcdef","heap":1,%s}}\n' % extra
        return next(iter(jsonrpc.ServerParser().feed(line)))

    valid = parse(b'"dedupe":"k","ttl":250,"org":"a"')
    assert isinstance(valid, jsonrpc.RunRequest) and (valid.idempotency_key, valid.time_left_s, valid.tenant_name) == (
        "k",
        0.25,
        "a",
    )
    for malformed in (
        b'"dedupe":7',
        b'"dedupe":""',
        b'"dedupe":"%s"' % (b"k" * 129),
        b'"dedupe":"a\\n"',
        b'"ttl":-1',
        b'"ttl":"x"',
        b'"ttl":1e300',
        b'"org":[]',
    ):
        assert isinstance(parse(malformed), jsonrpc.MalformedMessage), malformed


def test_a_claim_may_have_its_own_retention() -> None:
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
    assert guard.is_claimed("short"), "the expiry of a released claim does not end a later claim"
