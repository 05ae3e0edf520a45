"""``lapishaven call``: makes calls from the command line."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lapishaven.client.asyncio_client import BODY_LIMIT_BYTES, ROW_BITS, Client
from lapishaven.client.engine import Hook
from lapishaven.client.hooks import logging_hook
from lapishaven.client.outcomes import OUTCOME_NAMES, Cancelled, Expired, Failed, Outcome, Refused, Served, Uncertain
from lapishaven.client.settings import Settings, SettingsError, load

# The exit code of each outcome. Of several calls, the highest code is returned.
EXIT_CODES: dict[type[Outcome], int] = {Served: 0, Refused: 3, Failed: 4, Expired: 4, Cancelled: 4, Uncertain: 5}


@dataclass(frozen=True, slots=True)
class CallOptions:
    """Options of the command line.

    ``class_name``: the class of requests. ``deadline`` is in seconds, ``row`` in hexadecimal digits.
    ``count``: the number of calls, at most ``parallel`` of them at the same time.
    ``as_json``: print outcomes as JSON. ``log``: print every event to standard error.
    """

    class_name: str
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
        raise SettingsError("--server and --catalog are both given: they exclude each other")
    changes: dict[str, Any] = {}
    if servers or catalog:
        changes = {"servers": list(servers), "catalog": catalog or ""}
    return load(path, **changes)


def _read_body(options: CallOptions) -> bytes:
    if options.body is not None and options.file is not None:
        raise SettingsError(f"both a body and --file {options.file} are given: they exclude each other")
    if options.body is not None:
        return options.body.encode()
    if options.file is not None:
        try:
            return Path(options.file).read_bytes()
        except OSError as error:
            raise SettingsError(f"cannot read the request body from {options.file}: {error.strerror}") from None
    return b"" if sys.stdin.isatty() else sys.stdin.buffer.read(BODY_LIMIT_BYTES + 1)


def run(path: str, servers: tuple[str, ...], catalog: str | None, options: CallOptions) -> int:
    """Make the calls and print their outcomes; returns the exit code. Raises ``SettingsError`` on bad options."""
    settings = _load_settings(path, servers, catalog)
    body = _read_body(options)
    if options.class_name not in settings.classes:
        raise SettingsError(f"no class {options.class_name!r} in {path}; it has {', '.join(settings.classes)}")
    if len(body) > BODY_LIMIT_BYTES:
        raise SettingsError(
            f"the request body of {len(body)} bytes or more is over the limit of {BODY_LIMIT_BYTES} bytes"
        )
    if options.deadline is not None and not options.deadline > 0:
        raise SettingsError(f"--deadline {options.deadline} must be above 0 seconds")
    row = _parse_row(options.row) if options.row is not None else None
    return asyncio.run(_make_calls(settings, body, row, options))


def _parse_row(digits: str) -> int:
    try:
        row = int(digits, 16)
    except ValueError:
        row = -1
    if not 0 <= row < 1 << ROW_BITS:
        raise SettingsError(f"--row {digits[:40]!r} is not a hexadecimal number of up to 16 digits")
    return row


async def _make_calls(settings: Settings, body: bytes, row: int | None, options: CallOptions) -> int:
    slots = asyncio.Semaphore(options.parallel)
    async with Client(settings, hook=_json_lines_hook() if options.log else None) as client:

        async def make_call() -> int:
            async with slots:
                outcome = await client.outcome(options.class_name, body, deadline=options.deadline, row=row)
            print(_format_outcome(outcome, options.as_json), flush=True)
            return EXIT_CODES[type(outcome)]

        return max(await asyncio.gather(*(make_call() for _ in range(options.count))))


def _json_lines_hook() -> Hook:
    """Logs every event as a line of JSON to standard error."""
    import logging

    import structlog

    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
    return logging_hook()


def _format_outcome(outcome: Outcome, as_json: bool) -> str:
    outcome_name = OUTCOME_NAMES[type(outcome)]
    if as_json:
        fields: dict[str, Any] = {"outcome": outcome_name, "tries": outcome.tries, "seconds": round(outcome.span, 6)}
        if isinstance(outcome, Served):
            fields |= {"server": outcome.server, "body": outcome.body.decode("utf-8", "backslashreplace")}
        else:
            fields["reason"] = outcome.reason
        if isinstance(outcome, Refused):
            fields |= {"come_back": outcome.come_back, "stop": outcome.stop}
        return json.dumps(fields)
    summary = f"{outcome_name} in {outcome.span * 1000:.0f} ms, {outcome.tries} tries"
    if isinstance(outcome, Served):
        return f"{summary}, by {outcome.server}: {outcome.body.decode('utf-8', 'backslashreplace')}"
    if isinstance(outcome, Refused) and outcome.come_back:
        return f"{summary}: {outcome.reason}; come back in {outcome.come_back:.2f} s"
    return f"{summary}: {outcome.reason}"
