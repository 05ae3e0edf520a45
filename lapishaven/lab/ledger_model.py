"""Bounded model checking of the ledger's protocol by z3: two servers, one key, one file, every order of the steps.

The rows change by ``ledger.transitions.TRANSITIONS`` itself. Either server may get the request at any time, crash
between any two steps (and restart as another incarnation), and get an error though its transaction was written.
Properties: the effect runs at most once; it is charged at most once; a reply of success has the effect completed and
charged in the file; nothing that ran is rejected. For each guard there is a mutant without it, which has to break one.
"""

from __future__ import annotations

from lapishaven.lab.modelcheck import Model, Rule, Var, Vars, n
from lapishaven.ledger.transitions import TRANSITIONS, Decision, EffectEvent, EffectState

import z3  # isort: skip

STATES = list(EffectState)
IDLE, ASKED, MAY_RUN, RUNS, ENDED, TOLD, UNRUN, VOIDS, FAILS = range(9)
NAMES = ("row", "holder", "fresh", "s0", "s1", "p0", "p1", "ran0", "ran1", "runs", "charges", "owed", "hollow", "lied")
CRASHES = 3


def _row(state: EffectState) -> Var:
    return n(STATES.index(state))


def _decides(v: Vars, event: EffectEvent, own: Var, expected: Decision) -> Var:
    """Whether the transitions give this decision."""
    cases = [
        z3.And(v["row"] == _row(state), own == mine)
        for (state, asked, mine), (decision, _) in TRANSITIONS.items()
        if asked is event and decision is expected
    ]
    return z3.Or(cases) if cases else z3.BoolVal(False)


def rules(v: Vars, out: frozenset[str]) -> list[Rule]:
    """``p`` are what the servers are at, ``s`` their starts, ``ran`` whether the request at hand has run; ``owed`` a
    charge that is still to be written, ``hollow`` a success that the file did not hold, ``lied`` a refusal of a run."""
    found = []
    for i in "01":
        p, start, ran = v[f"p{i}"], v[f"s{i}"], v[f"ran{i}"]
        own = z3.And(v["holder"] == start, v["row"] != _row(EffectState.ABSENT))

        def step(name: str, at: int, when: Var, then: Vars, i: str = i, p: Var = p) -> None:
            found.append(Rule(f"{name} {i}", z3.And(p == n(at), when), then))

        yes = z3.BoolVal(True)
        free = _decides(v, EffectEvent.INTEND, own, Decision.APPLY)
        if "look before intent" in out:
            free = yes
        kept = z3.And(z3.Not(free), _decides(v, EffectEvent.INTEND, own, Decision.ALREADY_COMPLETED))
        taken = {"row": _row(EffectState.INTENDED), "holder": start}
        solid = z3.And(v["row"] == _row(EffectState.COMPLETED), v["charges"] == 1)
        step("ask", IDLE, yes, {f"p{i}": n(ASKED), f"ran{i}": n(0)})
        step("intend", ASKED, free, {**taken, f"p{i}": n(MAY_RUN)})
        step("intend, told an error", ASKED, free, {**taken, f"p{i}": n(UNRUN)})
        step("intend fails", ASKED, yes, {f"p{i}": n(UNRUN)})
        step("answer the kept", ASKED, kept, {f"p{i}": n(IDLE), "hollow": z3.If(solid, v["hollow"], n(1))})
        step("fail the uncertain", ASKED, z3.And(z3.Not(free), z3.Not(kept)), {f"p{i}": n(IDLE)})
        begun = {f"p{i}": n(RUNS), f"ran{i}": n(1), "runs": v["runs"] + 1}
        few = z3.ULT(v["runs"], 3)
        step("run", MAY_RUN, few, begun)
        if "intent before run" in out:
            step("run too soon", ASKED, few, begun)
        step("nobody waits", MAY_RUN, yes, {f"p{i}": n(UNRUN)})
        step("end", RUNS, yes, {f"p{i}": n(ENDED)})
        step("end badly", RUNS, yes, {f"p{i}": n(FAILS)})
        may = _decides(v, EffectEvent.FAIL, own, Decision.APPLY)
        step(
            "note the failure",
            FAILS,
            yes,
            {
                f"p{i}": n(IDLE),
                "row": z3.If(may, _row(EffectState.WITHOUT_RESULT), v["row"]),
            },
        )
        may = _decides(v, EffectEvent.COMPLETE, own, Decision.APPLY)
        again = _decides(v, EffectEvent.COMPLETE, own, Decision.ALREADY_COMPLETED)
        charged = v["charges"] + z3.If(may, n(1), n(0))
        if "kept on repeat" in out:
            charged = v["charges"] + z3.If(z3.Or(may, again), n(1), n(0))
        done: Vars = {"row": z3.If(may, _row(EffectState.COMPLETED), v["row"]), "charges": charged}
        if "one transaction" in out:
            done = {"row": done["row"], "owed": z3.If(may, n(1), v["owed"])}
        room = z3.ULT(v["charges"], 3)
        step("finish", ENDED, z3.And(room, z3.Or(may, again)), {**done, f"p{i}": n(TOLD)})
        step("finish, told an error", ENDED, z3.And(room, z3.Or(may, again)), done)
        step("finish in vain", ENDED, z3.Not(z3.Or(may, again)), {f"p{i}": n(IDLE)})
        if "one transaction" in out:
            step("charge", TOLD, v["owed"] == 1, {"charges": v["charges"] + 1, "owed": n(0)})
        if "durable before reply" in out:
            step("reply too soon", ENDED, yes, {f"p{i}": n(IDLE), "hollow": z3.If(solid, v["hollow"], n(1))})
        if "a run is never refused" in out:
            step("refuse what ran", ENDED, yes, {f"p{i}": n(UNRUN)})
        step("reply", TOLD, v["owed"] == 0, {f"p{i}": n(IDLE), "hollow": z3.If(solid, v["hollow"], n(1))})
        step("refuse", UNRUN, yes, {f"p{i}": n(VOIDS), "lied": z3.If(ran == 1, n(1), v["lied"])})
        may = _decides(v, EffectEvent.CANCEL, own, Decision.APPLY)
        if "own start" in out:
            may = v["row"] == _row(EffectState.INTENDED)
        step("void", VOIDS, yes, {f"p{i}": n(IDLE), "row": z3.If(may, _row(EffectState.ABSENT), v["row"])})
        found.append(
            Rule(
                f"crash {i}",
                z3.ULT(v["fresh"], 3 + CRASHES),
                {
                    f"p{i}": n(IDLE),
                    f"s{i}": v["fresh"],
                    "fresh": v["fresh"] + 1,
                },
            )
        )
    return found


def bad(v: Vars, out: frozenset[str]) -> dict[str, Var]:
    return {
        "it ran twice": z3.UGE(v["runs"], 2),
        "it was charged twice": z3.UGE(v["charges"], 2),
        "a success that the file does not hold": v["hollow"] == 1,
        "a run was refused": v["lied"] == 1,
    }


GUARDS = (
    "look before intent",
    "intent before run",
    "durable before reply",
    "one transaction",
    "kept on repeat",
    "own start",
    "a run is never refused",
)
RECORD = Model("record", NAMES, {"s0": 1, "s1": 2, "fresh": 3}, rules, bad, GUARDS, 13)
