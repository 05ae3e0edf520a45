"""The examples of the README and the guides run as they stand."""

from __future__ import annotations

import asyncio
import re
import threading
from pathlib import Path

import pytest

from lapishaven.proto import jsonrpc

ROOT = Path(__file__).parent.parent


def examples(page: str) -> list[str]:
    return re.findall(r"```python\n(.*?)```", (ROOT / page).read_text(), re.S)


def test_the_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    exec(compile(examples("README.md")[0], "README.md", "exec"), {})
    assert capsys.readouterr().out == "run 7\n"


# Guards against a guide that shows what does not run: one server on a thread, which loses every commit's answer.
def test_the_client_guide_runs(capsys: pytest.CaptureFixture[str]) -> None:
    loop, ready, where = asyncio.new_event_loop(), threading.Event(), list[str]()

    async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if b"approve-commit" in line:
                break
            writer.write(jsonrpc.encode_result(int(re.findall(rb'"id":(\d+)', line)[0]), b"match"))
        writer.close()

    async def host() -> None:
        server = await asyncio.start_server(one, "127.0.0.1", 0)
        where.append("{}:{}".format(*server.sockets[0].getsockname()))
        ready.set()

    thread = threading.Thread(target=lambda: (loop.create_task(host()), loop.run_forever()))
    thread.start()
    ready.wait()
    names = {"SERVER": where[0]}
    for text in examples("docs/client.md"):
        exec(compile(text, "docs/client.md", "exec"), names)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()
    lines = capsys.readouterr().out.splitlines()
    assert lines == ["b'match'", "it may have run: ask the record before you repeat it", "b'match'"]
