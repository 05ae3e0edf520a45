"""A reload adds a class and its pool; callers then use the new class beside the ones that were there."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from standins import COMMIT, FUZZY, SAVE, Answer, Caller, Interpreter, Trial, play, profile  # noqa: E402

ADDED = profile("term-check", "free")
RUN_S = {"fuzzy-match": 0.2, "segment-save": 0.15, "approve-commit": 0.15, "term-check": 0.15}
DUE_S = {row["name"]: row["deadline"] for row in (FUZZY, SAVE, COMMIT, ADDED)}
POOLS = """
take_back_s = 0.3
[[pool]]
name = "commits"
classes = ["approve-commit"]
share = 0.35
[[pool]]
name = "matches"
classes = [{matches}]
share = 0.30
ceiling = 0.9
[[pool]]
name = "saves"
classes = ["segment-save"]
share = 0.30
[reserve]
pool = "commits"
share = 0.15
ceiling = 0.6
"""


async def traffic(caller: Caller, label: str, names: list[str], seconds: float) -> dict[str, list[Answer]]:
    """Send ten requests a second, the classes in turn; returns the answers by class."""
    calls: list[tuple[str, asyncio.Task[Answer]]] = []
    for number in range(int(seconds * 10)):
        name = names[number % len(names)]
        calls.append((name, asyncio.ensure_future(caller.call(name, f"{label}-{number}", DUE_S[name]))))
        await asyncio.sleep(0.1)
    answers: dict[str, list[Answer]] = {name: [] for name in names}
    for name, call in calls:
        answers[name].append(await call)
    return answers


async def script(trial: Trial) -> list[str]:
    """Play the case; returns the ways in which the rule was broken."""
    interpreter = await trial.open(Interpreter("interpreter", trial.log, RUN_S))
    pools = trial.write("pools.toml", POOLS.format(matches='"fuzzy-match"'))
    node = await trial.start("n1", interpreter, [FUZZY, SAVE, COMMIT], f"--pools {pools}")
    caller = await trial.caller(node.port, 1)
    names = ["fuzzy-match", "segment-save", "approve-commit"]
    await traffic(caller, "before", names, 3.0)
    if trial.trouble:
        trial.write("pools.toml", POOLS.format(matches='"fuzzy-match", "term-check"'))
        await trial.reload(node, profiles=[FUZZY, SAVE, COMMIT, ADDED])
        names = [*names, "term-check"]
    await asyncio.sleep(1.2)
    await traffic(caller, "first", names, 10.0)
    began = len(interpreter.runs)
    late = await traffic(caller, "last", names, 5.0)
    for name, answers in late.items():
        trial.log(f"{name}: {[answer.kind for answer in answers]}")
    ran = [run.class_name for run in interpreter.runs[began:]]
    trial.log(f"runs in the last part: {len(ran)}")
    if "approve-commit" not in ran:
        commits = late["approve-commit"]
        return [
            f"of the last {sum(map(len, late.values()))} requests {len(ran)} were run, and none of {len(commits)}"
            f" commits, which were {sorted({answer.kind for answer in commits})}"
        ]
    return []


play(script, FOLDER)
