"""The adapter process between a simulator and controllers, of which each simulated instance has its own.

It reads batches of events from standard input and replies with the actions that the controllers return.
"""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from lapishaven.admission import Controller, Event
from lapishaven.simulator import codec
from lapishaven.simulator.codec import EventCode, WireError


class Instance:
    """One simulated instance from a BORN record to DOWN, or to the next BORN. Instances share no state."""

    __slots__ = ("controller", "gauge_names")

    def __init__(self, seed: int, settings_text: bytes) -> None:
        settings, self.gauge_names = codec.decode_settings(settings_text)
        self.controller = Controller(settings, seed)


class Adapter:
    """Dispatches each batch to its instances and builds the reply."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}

    def handle_batch(self, number: int, now: float, record_count: int, body: memoryview) -> bytes:
        """The reply frame to a batch, whose records are ``body``. Raises ``WireError`` if the batch is malformed.

        An exception in one instance is reported in the reply, and the other instances are still handled.
        """
        reply = codec.Reply()
        for instance_number, events in self._read_events(record_count, body).items():
            try:
                actions = self._instances[instance_number].controller.handle(now, events)
            except Exception as error:
                traceback.print_exc(file=sys.stderr)
                reply.select(instance_number)
                reply.add_failure(f"{type(error).__name__}: {error}")
                continue
            if actions:
                reply.select(instance_number)
                for action in actions:
                    reply.add(action)
        return reply.frame(number)

    def _read_events(self, record_count: int, body: memoryview) -> dict[int, list[Event]]:
        """Start and end instances; returns the events of each instance that has any or was started."""
        instances = self._instances
        events_by_instance: dict[int, list[Event]] = {}
        selected: int | None = None
        for code, offset in codec.split_records(body, record_count):
            if code == EventCode.SELECT:
                selected = codec.decode_select(body, offset)
            elif selected is None:
                raise WireError(f"{_describe(code, offset)}: no SELECT record precedes it")
            elif code == EventCode.BORN:
                seed, settings_text = codec.decode_born(body, offset, record_count)
                instances[selected] = Instance(seed, settings_text)
                events_by_instance[selected] = []
            elif selected not in instances:
                raise WireError(f"{_describe(code, offset)}: instance {selected} has no BORN record")
            elif code == EventCode.DOWN:
                del instances[selected]
                events_by_instance.pop(selected, None)
            else:
                event = _decode_event(code, body, offset, instances[selected])
                events_by_instance.setdefault(selected, []).append(event)
        return events_by_instance


def _describe(code: int, offset: int) -> str:
    return f"record {offset // codec.EVENT_RECORD_SIZE} (code {code})"


def _decode_event(code: int, body: memoryview, offset: int, instance: Instance) -> Event:
    try:
        event = codec.decode_event(code, body, offset, instance.gauge_names)
    except WireError as error:
        raise WireError(f"record {offset // codec.EVENT_RECORD_SIZE}: {error}") from None
    if event is None:
        raise WireError(f"{_describe(code, offset)}: unknown event code")
    return event


def read_up_to(source: BinaryIO, size: int) -> bytes:
    """Read ``size`` bytes, or fewer at the end of the input."""
    data = source.read(size)
    while len(data) < size:
        chunk = source.read(size - len(data))
        if not chunk:
            break
        data += chunk
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends. Raises ``WireError`` if one is malformed."""
    adapter = Adapter()
    while header := read_up_to(source, codec.BATCH_HEADER.size):
        if len(header) < codec.BATCH_HEADER.size:
            raise WireError(f"frame header truncated: {len(header)} of {codec.BATCH_HEADER.size} bytes")
        number, length, now, record_count = codec.BATCH_HEADER.unpack(header)
        body = read_up_to(source, length)
        if len(body) < length:
            raise WireError(f"frame body of batch {number} truncated: {len(body)} of {length} bytes")
        sink.write(adapter.handle_batch(number, now, record_count, memoryview(body)))
        sink.flush()


def main() -> int:
    """Serve standard input and output.

    A malformed frame is reported in one line, with exit code 2. The exit code is 1 if the output pipe was closed.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:
        print(f"simulator adapter: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
