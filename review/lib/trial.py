"""Runs the trial of a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from lib.platform import CannotRunError, Platform
from lib.record import Record

LONGEST_S = 100.0
Play = Callable[[Platform, Record, bool], Awaitable[list[str]]]  # returns one line for each breach of the rule


def main(folder: Path, play: Play) -> int:
    """Play a case with its disruption, or without it where ``TROUBLE=0``; returns the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    platform = Platform(record, folder / "servers.log")
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        breaches = asyncio.run(asyncio.wait_for(play(platform, record, trouble), LONGEST_S))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        return 2
    except Exception:
        record.add(traceback.format_exc())
        traceback.print_exc()
        return 2
    finally:
        platform.close()
    for breach in breaches:
        record.add(f"BROKEN {breach}")
        print(f"BROKEN {breach}")
    verdict = "broken" if breaches else "held"
    record.add(f"the rule {verdict}, TROUBLE={int(trouble)}")
    print(f"the rule {verdict}, TROUBLE={int(trouble)}")
    record.close()
    return 1 if breaches else 0
