"""The serving code uses no system facilities that the platform does not support; nothing sent on a socket pair arrives.

The wake-up pipe, which is used in place of a socket pair, is tested in test_mixed: a real ``serve`` gets SIGTERM there.
"""

from __future__ import annotations

import ast
from pathlib import Path

SOURCES = Path(__file__).resolve().parent.parent / "lapishaven"


def test_the_serving_code_starts_no_processes_and_creates_no_socket_pairs() -> None:
    """Guards against calls that the platform does not support: socket pairs, fork, sendfile, splice, other programs."""
    violations = []
    for path in SOURCES.rglob("*.py"):
        if path.relative_to(SOURCES).parts[0] in {"lab", "client"}:
            continue  # stand-ins and the client library do not run inside ``serve``
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Attribute) and node.attr in {"socketpair", "fork", "sendfile", "splice"}:
                violations.append(f"{path.name}:{node.lineno} {node.attr}")
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            violations += [
                f"{path.name}:{node.lineno} {name}" for name in names if name in {"subprocess", "multiprocessing"}
            ]
    assert not violations, violations
