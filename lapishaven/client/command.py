"""``lapishaven call``: calls from the command line."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lapishaven.client.asyncio_client import BODY_LIMIT, Client
from lapishaven.client.hooks import logging_hook
from lapishaven.client.outcomes import OUTCOME_NAMES, Cancelled, Expired, Failed, Outcome, Refused, Served, Uncertain
from lapishaven.client.settings import Settings, SettingsError, load

# The exit code of each outcome; of several calls the highest counts.
EXIT_CODES: dict[type[Outcome], int] = {Served: 0, Refused: 3, Failed: 4, Expired: 4, Cancelled: 4, Uncertain: 5}


@dataclass(frozen=True, slots=True)
class CallOptions:
    """What the command line asks for."""

    cls: str
    body: str | None
    file: str | None
    deadline: float | None
    count: int
    parallel: int
    row: str | None
    as_json: bool
    log: bool


def _load_settings(path: str, servers: tuple[str, ...], catalog: str | None) -> Settings:
    if servers and catalog:
        raise SettingsError("name either --server or --catalog")
    changes: dict[str, Any] = {}
    if servers or catalog:
        changes = {"servers": list(servers), "catalog": catalog or ""}
    return load(path, **changes)


def _read_body(wanted: CallOptions) -> bytes:
    if wanted.body is not None and wanted.file is not None:
        raise SettingsError("name either a body or --file")
    if wanted.body is not None:
        return wanted.body.encode()
    if wanted.file is not None:
        try:
            return Path(wanted.file).read_bytes()
        except OSError as error:
            raise SettingsError(f"cannot read {wanted.file}: {error.strerror}") from None
    return b"" if sys.stdin.isatty() else sys.stdin.buffer.read(BODY_LIMIT + 1)


def run(path: str, servers: tuple[str, ...], catalog: str | None, wanted: CallOptions) -> int:
    """Make the calls; gives the exit code."""
    settings, body = _load_settings(path, servers, catalog), _read_body(wanted)
    if wanted.cls not in settings.classes:
        raise SettingsError(f"no class {wanted.cls!r}; there are {', '.join(settings.classes)}")
    if len(body) > BODY_LIMIT:
        raise SettingsError(f"the body is over {BODY_LIMIT} bytes")
    if wanted.deadline is not None and not wanted.deadline > 0:
        raise SettingsError("--deadline is not above 0")
    try:
        row = int(wanted.row, 16) if wanted.row is not None else None
    except ValueError:
        row = -1
    if row is not None and not 0 <= row < 1 << 64:
        raise SettingsError("--row is no hex number of up to 16 digits")
    return asyncio.run(_make_calls(settings, body, row, wanted))


async def _make_calls(settings: Settings, body: bytes, row: int | None, wanted: CallOptions) -> int:
    gate = asyncio.Semaphore(wanted.parallel)
    hook = None
    if wanted.log:
        import logging

        import structlog

        structlog.configure(
            processors=[structlog.processors.add_log_level, structlog.processors.JSONRenderer()],
            wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG),
            logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        )
        hook = logging_hook()
    async with Client(settings, hook=hook) as client:

        async def one() -> int:
            async with gate:
                outcome = await client.outcome(wanted.cls, body, deadline=wanted.deadline, row=row)
            print(_format_outcome(outcome, wanted.as_json), flush=True)
            return EXIT_CODES[type(outcome)]

        return max(await asyncio.gather(*(one() for _ in range(wanted.count))))


def _format_outcome(outcome: Outcome, as_json: bool) -> str:
    kind = OUTCOME_NAMES[type(outcome)]
    if as_json:
        fields: dict[str, Any] = {"outcome": kind, "tries": outcome.tries, "seconds": round(outcome.span, 6)}
        if isinstance(outcome, Served):
            fields |= {"server": outcome.server, "body": outcome.body.decode("utf-8", "backslashreplace")}
        else:
            fields["reason"] = outcome.reason
        if isinstance(outcome, Refused):
            fields |= {"come_back": outcome.come_back, "stop": outcome.stop}
        return json.dumps(fields)
    head = f"{kind} in {outcome.span * 1000:.0f} ms, {outcome.tries} tries"
    if isinstance(outcome, Served):
        return f"{head}, by {outcome.server}: {outcome.body.decode('utf-8', 'backslashreplace')}"
    if isinstance(outcome, Refused) and outcome.come_back:
        return f"{head}: {outcome.reason}; come back in {outcome.come_back:.2f} s"
    return f"{head}: {outcome.reason}"
