"""The adapter process: reads batches on standard input, lets a ``Controller`` decide for each instance, replies."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from lapishaven.admission import Controller, Event
from lapishaven.simulator import codec
from lapishaven.simulator.codec import EventCode, WireError


class Instance:
    """One incarnation of one instance; nothing is shared with others."""

    __slots__ = ("controller", "gauge_names")

    def __init__(self, seed: int, settings_text: bytes) -> None:
        settings, self.gauge_names = codec.decode_settings(settings_text)
        self.controller = Controller(settings, seed)


class Host:
    """Splits each batch among its instances and builds the reply."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}

    def handle_batch(self, number: int, now: float, record_count: int, body: memoryview) -> bytes:
        """The reply frame to a batch; ``body`` is what follows its header. ``WireError`` if it is malformed."""
        reply = codec.Reply()
        for instance_number, events in self._read_events(record_count, body).items():
            try:
                actions = self._instances[instance_number].controller.handle(now, events)
            except Exception as error:
                traceback.print_exc(file=sys.stderr)
                reply.select(instance_number)
                reply.add_death(f"{type(error).__name__}: {error}")
                continue
            if actions:
                reply.select(instance_number)
                for action in actions:
                    reply.add(action)
        return reply.frame(number)

    def _read_events(self, record_count: int, body: memoryview) -> dict[int, list[Event]]:
        """Start and end instances, and collect the events of each that has any or has just started."""
        instances = self._instances
        events_by_instance: dict[int, list[Event]] = {}
        selected: int | None = None
        for code, offset in codec.split_records(body, record_count):
            if code == EventCode.SELECT:
                selected = codec.decode_select(body, offset)
            elif selected is None:
                raise WireError(f"{_describe(code, offset)}: no SELECT before it")
            elif code == EventCode.BORN:
                seed, settings_text = codec.decode_born(body, offset, record_count)
                instances[selected] = Instance(seed, settings_text)
                events_by_instance[selected] = []
            elif selected not in instances:
                raise WireError(f"{_describe(code, offset)}: instance {selected} was never born")
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
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; ``WireError`` at a malformed one."""
    host = Host()
    while header := read_up_to(source, codec.BATCH_HEADER.size):
        if len(header) < codec.BATCH_HEADER.size:
            raise WireError(f"frame header: {len(header)} bytes of {codec.BATCH_HEADER.size}")
        number, length, now, record_count = codec.BATCH_HEADER.unpack(header)
        body = read_up_to(source, length)
        if len(body) < length:
            raise WireError(f"frame length: {len(body)} bytes of {length}")
        sink.write(host.handle_batch(number, now, record_count, memoryview(body)))
        sink.flush()


def main() -> int:
    """Run on standard input and output; a malformed frame ends it with one plain line."""
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
