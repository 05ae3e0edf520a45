"""The code examples of the README and of the client guide run unchanged."""

from __future__ import annotations

import asyncio
import re
import threading
from pathlib import Path

import pytest

from lapishaven.proto import jsonrpc

ROOT = Path(__file__).parent.parent


def code_blocks(page: str) -> list[str]:
    """The Python code blocks of a page."""
    return re.findall(r"```python\n(.*?)```", (ROOT / page).read_text(), re.S)


def test_the_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    exec(compile(code_blocks("README.md")[0], "README.md", "exec"), {})
    assert capsys.readouterr().out == "run 7\n"


# Guards against guide examples that do not run. A server on a thread answers all requests but commits, at which it
# closes the connection.
def test_the_client_guide_examples_run(capsys: pytest.CaptureFixture[str]) -> None:
    loop, ready, addresses = asyncio.new_event_loop(), threading.Event(), list[str]()

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if b"approve-commit" in line:
                break
            writer.write(jsonrpc.encode_result(int(re.findall(rb'"id":(\d+)', line)[0]), b"match"))
        writer.close()

    async def start() -> None:
        server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
        addresses.append("{}:{}".format(*server.sockets[0].getsockname()))
        ready.set()

    thread = threading.Thread(target=lambda: (loop.create_task(start()), loop.run_forever()))
    thread.start()
    ready.wait()
    namespace = {"SERVER": addresses[0]}
    for code in code_blocks("docs/client.md"):
        exec(compile(code, "docs/client.md", "exec"), namespace)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()
    lines = capsys.readouterr().out.splitlines()
    assert lines == ["b'match'", "it may have run: ask the record before you repeat it", "b'match'"]
