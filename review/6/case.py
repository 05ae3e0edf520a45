"""A bad client sends the id of an open commit with another body, at the uwsgi front."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from standins import (  # noqa: E402
    COMMIT,
    FUZZY,
    HOST,
    SAVE,
    CannotRunError,
    Interpreter,
    Trial,
    free_port,
    play,
    uwsgi_call,
)

FRONT = """
[front]
listen = "{host}:{port}"
path = "/match/"
held_kb = 30.0
"""
RUN_S = 0.8
ROUNDS = 5


async def script(trial: Trial) -> list[str]:
    """Play the case; returns the ways in which the rule was broken."""
    interpreter = await trial.open(Interpreter("interpreter", trial.log, {"approve-commit": RUN_S}))
    port = free_port()
    uwsgi = trial.write("uwsgi.toml", FRONT.format(host=HOST, port=port))
    await trial.start("n1", interpreter, [FUZZY, SAVE, COMMIT], f"--uwsgi {uwsgi}")
    faults, served = [], 0
    for number in range(ROUNDS):
        own, other = f"approve string {number}", f"approve string {number} of another file"
        headers = {"HTTP_X_REQUEST_ID": f"commit-{number}"}
        first = asyncio.ensure_future(uwsgi_call(port, "approve-commit", own, headers, trial.log))
        await asyncio.sleep(RUN_S / 2)
        if trial.trouble:
            trial.log(f"a bad client sends the id of commit-{number}, which is open, with another body")
            foreign = await uwsgi_call(port, "approve-commit", other, headers, trial.log)
            ran = [run.body.decode() for run in interpreter.runs]
            if foreign.status == 200 and other not in ran:
                faults.append(f"{other!r} never ran and was answered 'served' with {foreign.body.decode()!r}")
        reply = await first
        served += reply.status == 200 and reply.body.decode() == f"result of {own}"
    if served < ROUNDS:
        raise CannotRunError(f"{served} of {ROUNDS} sound requests were served")
    return faults


play(script, FOLDER)
