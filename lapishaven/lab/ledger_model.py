"""Bounded model checking of the ledger's protocol with z3: two servers, one key, one file, all orders of the steps.

The row changes by ``ledger.transitions.TRANSITIONS`` itself. Either server may get the request at any time, crash
between any two steps and restart as another incarnation, and get an error although its transaction was written.

The properties are: the effect runs at most once; it is charged at most once; after a reply of success the file has the
effect completed and charged; a request that ran is not rejected. Each mutant without one guard must violate a property.
"""

from __future__ import annotations

from lapishaven.lab.modelcheck import Assignment, Expression, Model, Rule, bit_vector
from lapishaven.ledger.transitions import TRANSITIONS, Decision, EffectEvent, EffectState

import z3  # isort: skip

STATES = list(EffectState)
IDLE, RECEIVED, INTENT_RECORDED, RUNNING, RUN_ENDED, COMPLETION_RECORDED, REJECTING, CANCELLING, RUN_FAILED = range(9)
VARIABLES = (
    "row",
    "holder",
    "fresh",
    "s0",
    "s1",
    "p0",
    "p1",
    "ran0",
    "ran1",
    "runs",
    "charges",
    "owed",
    "hollow",
    "lied",
)
MAX_CRASHES = 3


def _row_value(state: EffectState) -> Expression:
    return bit_vector(STATES.index(state))


def _has_decision(v: Assignment, event: EffectEvent, is_own: Expression, expected: Decision) -> Expression:
    """Whether ``TRANSITIONS`` gives this decision for the event in the current row state."""
    cases = [
        z3.And(v["row"] == _row_value(state), is_own == own)
        for (state, listed_event, own), (decision, _) in TRANSITIONS.items()
        if listed_event is event and decision is expected
    ]
    return z3.Or(cases) if cases else z3.BoolVal(False)


def rules(v: Assignment, removed_guards: frozenset[str]) -> list[Rule]:
    """The steps of the two servers. The state variables are:

    - ``row``: the state of the ledger row; ``holder``: the incarnation that wrote its intent;
    - ``p<i>``: the phase of server ``i``; ``s<i>``: its incarnation; ``fresh``: the next incarnation;
    - ``ran<i>``: whether the current request of server ``i`` has run;
    - ``runs`` and ``charges``: how often the effect ran and was charged; ``owed``: a charge is still to be written;
    - ``hollow``: a success was reported that the file did not hold; ``lied``: a request that ran was rejected.
    """
    rules_found = []
    for server in "01":
        phase, incarnation, ran = v[f"p{server}"], v[f"s{server}"], v[f"ran{server}"]
        is_own = z3.And(v["holder"] == incarnation, v["row"] != _row_value(EffectState.ABSENT))

        def step(
            name: str,
            at: int,
            condition: Expression,
            updates: Assignment,
            server: str = server,
            phase: Expression = phase,
        ) -> None:
            rules_found.append(Rule(f"{name} {server}", z3.And(phase == bit_vector(at), condition), updates))

        always = z3.BoolVal(True)
        can_intend = _has_decision(v, EffectEvent.INTEND, is_own, Decision.APPLY)
        if "check before intent" in removed_guards:
            can_intend = always
        has_result = z3.And(
            z3.Not(can_intend), _has_decision(v, EffectEvent.INTEND, is_own, Decision.ALREADY_COMPLETED)
        )
        intent = {"row": _row_value(EffectState.INTENDED), "holder": incarnation}
        is_stored = z3.And(v["row"] == _row_value(EffectState.COMPLETED), v["charges"] == 1)
        step("receive", IDLE, always, {f"p{server}": bit_vector(RECEIVED), f"ran{server}": bit_vector(0)})
        step("record intent", RECEIVED, can_intend, {**intent, f"p{server}": bit_vector(INTENT_RECORDED)})
        step("record intent, get an error", RECEIVED, can_intend, {**intent, f"p{server}": bit_vector(REJECTING)})
        step("fail to record intent", RECEIVED, always, {f"p{server}": bit_vector(REJECTING)})
        step(
            "reply with the recorded result",
            RECEIVED,
            has_result,
            {f"p{server}": bit_vector(IDLE), "hollow": z3.If(is_stored, v["hollow"], bit_vector(1))},
        )
        step(
            "reply uncertain",
            RECEIVED,
            z3.And(z3.Not(can_intend), z3.Not(has_result)),
            {f"p{server}": bit_vector(IDLE)},
        )
        run_updates = {f"p{server}": bit_vector(RUNNING), f"ran{server}": bit_vector(1), "runs": v["runs"] + 1}
        runs_left = z3.ULT(v["runs"], 3)
        step("run", INTENT_RECORDED, runs_left, run_updates)
        if "intent before run" in removed_guards:
            step("run without intent", RECEIVED, runs_left, run_updates)
        step("caller has left", INTENT_RECORDED, always, {f"p{server}": bit_vector(REJECTING)})
        step("end run", RUNNING, always, {f"p{server}": bit_vector(RUN_ENDED)})
        step("run fails", RUNNING, always, {f"p{server}": bit_vector(RUN_FAILED)})
        can_apply = _has_decision(v, EffectEvent.FAIL, is_own, Decision.APPLY)
        step(
            "record failure",
            RUN_FAILED,
            always,
            {
                f"p{server}": bit_vector(IDLE),
                "row": z3.If(can_apply, _row_value(EffectState.WITHOUT_RESULT), v["row"]),
            },
        )
        can_apply = _has_decision(v, EffectEvent.COMPLETE, is_own, Decision.APPLY)
        is_repeat = _has_decision(v, EffectEvent.COMPLETE, is_own, Decision.ALREADY_COMPLETED)
        charged = v["charges"] + z3.If(can_apply, bit_vector(1), bit_vector(0))
        if "one charge on repeat" in removed_guards:
            charged = v["charges"] + z3.If(z3.Or(can_apply, is_repeat), bit_vector(1), bit_vector(0))
        completion: Assignment = {
            "row": z3.If(can_apply, _row_value(EffectState.COMPLETED), v["row"]),
            "charges": charged,
        }
        if "one transaction" in removed_guards:
            completion = {"row": completion["row"], "owed": z3.If(can_apply, bit_vector(1), v["owed"])}
        charges_left = z3.ULT(v["charges"], 3)
        step(
            "record completion",
            RUN_ENDED,
            z3.And(charges_left, z3.Or(can_apply, is_repeat)),
            {**completion, f"p{server}": bit_vector(COMPLETION_RECORDED)},
        )
        step(
            "record completion, get an error", RUN_ENDED, z3.And(charges_left, z3.Or(can_apply, is_repeat)), completion
        )
        step("completion denied", RUN_ENDED, z3.Not(z3.Or(can_apply, is_repeat)), {f"p{server}": bit_vector(IDLE)})
        if "one transaction" in removed_guards:
            step("charge", COMPLETION_RECORDED, v["owed"] == 1, {"charges": v["charges"] + 1, "owed": bit_vector(0)})
        if "durable before reply" in removed_guards:
            step(
                "reply before the record",
                RUN_ENDED,
                always,
                {f"p{server}": bit_vector(IDLE), "hollow": z3.If(is_stored, v["hollow"], bit_vector(1))},
            )
        if "no rejection after a run" in removed_guards:
            step("reject after run", RUN_ENDED, always, {f"p{server}": bit_vector(REJECTING)})
        step(
            "reply",
            COMPLETION_RECORDED,
            v["owed"] == 0,
            {f"p{server}": bit_vector(IDLE), "hollow": z3.If(is_stored, v["hollow"], bit_vector(1))},
        )
        step(
            "reject",
            REJECTING,
            always,
            {f"p{server}": bit_vector(CANCELLING), "lied": z3.If(ran == 1, bit_vector(1), v["lied"])},
        )
        can_apply = _has_decision(v, EffectEvent.CANCEL, is_own, Decision.APPLY)
        if "own incarnation" in removed_guards:
            can_apply = v["row"] == _row_value(EffectState.INTENDED)
        step(
            "cancel",
            CANCELLING,
            always,
            {f"p{server}": bit_vector(IDLE), "row": z3.If(can_apply, _row_value(EffectState.ABSENT), v["row"])},
        )
        rules_found.append(
            Rule(
                f"crash {server}",
                z3.ULT(v["fresh"], 3 + MAX_CRASHES),
                {
                    f"p{server}": bit_vector(IDLE),
                    f"s{server}": v["fresh"],
                    "fresh": v["fresh"] + 1,
                },
            )
        )
    return rules_found


def violations(v: Assignment, removed_guards: frozenset[str]) -> dict[str, Expression]:
    """The violations of the properties."""
    return {
        "the effect ran twice": z3.UGE(v["runs"], 2),
        "the effect was charged twice": z3.UGE(v["charges"], 2),
        "a success was reported that the file does not hold": v["hollow"] == 1,
        "a request that ran was rejected": v["lied"] == 1,
    }


GUARDS = (
    "check before intent",
    "intent before run",
    "durable before reply",
    "one transaction",
    "one charge on repeat",
    "own incarnation",
    "no rejection after a run",
)
LEDGER = Model("ledger", VARIABLES, {"s0": 1, "s1": 2, "fresh": 3}, rules, violations, GUARDS, 13)
