"""Stdin/stdout loop: one Controller for each instance, nothing shared between them."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from lapishaven.admission import Controller, Event
from lapishaven.simulator import codec


class Instance:
    """One life of one instance."""

    __slots__ = ("controller", "gauges")

    def __init__(self, seed: int, text: bytes) -> None:
        settings, self.gauges = codec.settings(text)
        self.controller = Controller(settings, seed)


class Host:
    """Splits a batch among its instances and builds the reply."""

    def __init__(self) -> None:
        self.lives: dict[int, Instance] = {}

    def batch(self, number: int, now: float, count: int, body: memoryview) -> bytes:
        lives, pending = self.lives, dict[int, list[Event]]()
        current: int | None = None
        for code, at in codec.records(body, count):
            if code == codec.SELECT:
                current = codec.instance_of(body, at)
                continue
            where = f"record {at // codec.RECORD} (code {code})"
            if current is None:
                raise codec.WireError(f"{where}: no SELECT before it")
            if code == codec.BORN:
                seed, text = codec.born(body, at, count)
                lives[current] = Instance(seed, text)
                pending[current] = []
            elif current not in lives:
                raise codec.WireError(f"{where}: instance {current} was never born")
            elif code == codec.DOWN:
                del lives[current]
                pending.pop(current, None)
            else:
                life = lives[current]
                try:
                    event = codec.decode_event(code, body, at, lambda life=life: life.gauges)  # type: ignore[misc]
                except codec.WireError as error:
                    raise codec.WireError(f"record {at // codec.RECORD}: {error}") from None
                if event is None:
                    raise codec.WireError(f"{where}: unknown event code")
                pending.setdefault(current, []).append(event)
        reply = codec.Reply()
        for instance, events in pending.items():
            try:
                actions = lives[instance].controller.handle(now, events)
            except Exception as error:
                traceback.print_exc(file=sys.stderr)
                reply.select(instance)
                reply.die(f"{type(error).__name__}: {error}")
                continue
            if actions:
                reply.select(instance)
                for action in actions:
                    reply.add(action)
        return reply.frame(number)


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """All of ``size`` bytes, or fewer at the end of input."""
    data = source.read(size)
    while len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while head := read_exactly(source, codec.HEADER.size):
        if len(head) < codec.HEADER.size:
            raise codec.WireError(f"frame header: {len(head)} bytes of {codec.HEADER.size}")
        number, length, now, count = codec.HEADER.unpack(head)
        body = read_exactly(source, length)
        if len(body) < length:
            raise codec.WireError(f"frame length: {len(body)} bytes of {length}")
        sink.write(host.batch(number, now, count, memoryview(body)))
        sink.flush()


def main() -> int:
    """Run on standard input and output; a malformed frame ends it with one plain line."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (codec.WireError, ValueError) as error:
        print(f"simulator adapter: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
