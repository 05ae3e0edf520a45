"""What the fleet's bench refuses is not on the serving path. The pipe that replaced the socket pair carries SIGTERM
in test_mixed, where a real `serve` is told to leave."""

from __future__ import annotations

import ast
from pathlib import Path

SERVED = Path(__file__).resolve().parent.parent / "lapishaven"


def test_the_serving_code_starts_no_programs_and_makes_no_unix_sockets() -> None:
    """Guards against socket pairs (nothing reaches them on the bench), fork, sendfile, splice, other programs."""
    found = []
    for path in SERVED.rglob("*.py"):
        if path.relative_to(SERVED).parts[0] in {"lab", "client"}:
            continue  # stand-ins and the client library never run inside `serve`
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Attribute) and node.attr in {"socketpair", "fork", "sendfile", "splice"}:
                found.append(f"{path.name}:{node.lineno} {node.attr}")
            names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
            names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            found += [f"{path.name}:{node.lineno} {n}" for n in names if n in {"subprocess", "multiprocessing"}]
    assert not found, found
