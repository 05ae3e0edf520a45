"""One connection: two rings, backpressure, and the one place where it ends.

``close`` is the orderly end, and everyone's way out: what was queued is sent, the peer is told that no more comes (a
half-close), and what still arrives is read and thrown away until the peer has closed too. Only then is the descriptor
closed, since a close over unread bytes resets the connection, and a reset can overtake an answer. ``abort`` is for
what nobody reads any more.
"""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable, Generator
from typing import Any

from lapishaven.connection_end import ConnectionEnd
from lapishaven.net.loop import Loop, Timer, Wait
from lapishaven.net.ring_buffer import RingBuffer, RingBufferFull

IN_LIMIT = 16 * 1024
OUT_LIMIT = 512 * 1024
OUT_HIGH = 128 * 1024  # unsent bytes past which nothing more is read
LINGER = 1.0  # s without a byte either way after which a close no longer waits for the peer
LINGER_MOST = 10.0  # s that a close takes at most, however slowly the peer reads or however much it sends
BROKEN = select.EPOLLERR | select.EPOLLHUP


class Connection:
    """A nonblocking stream. ``read`` is for its one coroutine; ``write`` and ``close`` for anyone.

    The peer's half-close is no end: ``read`` tells it as ``PEER_CLOSED`` behind all that was received, and what is
    written afterwards still goes out. ``on_end`` is called once, when the descriptor has been given back.
    """

    def __init__(self, loop: Loop, sock: socket.socket, on_end: Callable[[ConnectionEnd], None]) -> None:
        self.loop, self.sock, self._on_end = loop, sock, on_end
        self.ins, self.out = RingBuffer(IN_LIMIT), RingBuffer(OUT_LIMIT)
        self.end: ConnectionEnd | None = None
        self.sent = 0  # bytes handed to the kernel so far
        self.active = loop.now
        self.closing: ConnectionEnd | None = None  # why, from the first call of ``close`` on
        self._eof = False  # the peer sends no more
        self._discards = False
        self._shut = False  # we send no more
        self._reader: Wait | None = None
        self._mask: int | None = None
        self._patience: Timer | None = None
        self._moved = 0  # bytes both ways when the patience was last renewed
        self._received = 0
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    # ---- Reading
    def read(self, span: float | None = None) -> Generator[Wait, Any, bytes | ConnectionEnd | None]:
        """What came; behind that, the end of the input once there is one; ``None`` if the time ran out."""
        if not self.ins.size and self._input_end() is None:
            self._reader = Wait(span)
            self._interest()
            yield self._reader
            self._reader = None  # the interest in input is dropped when some comes that nobody waits for
        return self.ins.take() or self._input_end()

    def _input_end(self) -> ConnectionEnd | None:
        return self.end or self.closing or (ConnectionEnd.PEER_CLOSED if self._eof else None)

    def catch_up(self) -> bool:
        """Read once more what is there, as it may have come since the loop looked; whether anything had come."""
        before = self._received, self._eof
        if self.end is None and self.ins.room:
            self._receive()
        return (self._received, self._eof) != before

    def discard(self) -> None:
        """From now on what comes is read and thrown away, so that the peer is not held up in its writing."""
        self._discards = True
        self.ins.take()
        self._interest()

    def _ready(self, mask: int) -> None:
        if mask & select.EPOLLOUT:
            self.flush()
        if self.end is not None or not mask & (select.EPOLLIN | BROKEN):
            return
        if self._eof:
            if mask & BROKEN:
                # Nothing can come behind its half-close but this: it has closed the other half as well.
                self.abort(ConnectionEnd.PEER_CLOSED)
            return
        if self._reader is None and not self._discards and not mask & BROKEN:
            return self._interest()
        self._receive()

    def _receive(self) -> None:
        if self._eof:
            return
        if self._discards:
            self.ins.take()
        if not self.ins.room:
            # Only a broken connection is read with nobody to take it, and there is no room left to find its end.
            return self.abort(ConnectionEnd.RESET)
        try:
            got = self.ins.receive(self.sock)
        except BlockingIOError:
            return
        except OSError:
            return self.abort(ConnectionEnd.RESET)
        self._received += got
        self.loop.received += got
        if got:
            self.active = self.loop.now
        else:
            self._eof = True
        if self._discards:
            self.ins.take()
        if self._shut and self._eof:
            return self.abort(self.closing or ConnectionEnd.PEER_CLOSED)
        self._interest()
        if self._reader is not None:
            self._reader.wake()

    def _interest(self) -> None:
        if self.end is not None:
            return
        reads = self._discards or self._reader is not None and self.out.size < OUT_HIGH
        wants = select.EPOLLIN if reads and not self._eof else 0
        wants |= select.EPOLLOUT if self.out.size else 0
        if wants != self._mask:
            self._mask = wants
            self.loop.watch(self.sock.fileno(), wants, self._ready)

    def left(self) -> bool:
        """Whether the peer has closed already, behind what was read so far."""
        if self.end is not None or self._eof:
            return True
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    # ---- Writing
    @property
    def unsent(self) -> int:
        """Bytes that are queued and not yet sent."""
        return self.out.size

    def write(self, data: bytes) -> None:
        """Queue bytes; they are sent at the end of the round. What comes after ``close`` is not sent."""
        if self.end is not None or self.closing is not None:
            return
        if not self.loop.make_unsent_room(len(data), self):
            return
        try:
            self.out.write(data)
        except RingBufferFull:
            return self.evict()
        self.loop.unsent += len(data)
        self.loop.senders.add(self)
        self.active = self.loop.now
        self.loop.after(self.flush)

    def flush(self) -> None:
        """Hand the kernel what it takes now."""
        try:
            while self.end is None and self.out.size:
                count = self.out.send(self.sock)
                self.sent += count
                self.loop.sent += count
                self.loop.unsent -= count
        except BlockingIOError:
            pass
        except OSError:
            return self.abort(ConnectionEnd.RESET)
        if not self.out.size:
            self.loop.senders.discard(self)
            if self.closing is not None and self.end is None and not self._shut:
                return self._half_close(self.closing)
        self._interest()

    # ---- Ending
    def close(self, end: ConnectionEnd, unsent: bool = True) -> None:
        """End in order: send what is queued, half-close, throw away what comes, and wait for the peer's close. With
        ``unsent`` off what is queued is not sent: a request that is withdrawn must not become whole at the peer."""
        if self.end is not None or self.closing is not None:
            return
        self.closing = end
        if not unsent:
            self.loop.unsent -= self.out.size
            self.out = RingBuffer(0)
        self.loop.after(self.flush)
        until = self.loop.now + LINGER_MOST
        self._moved = self.sent + self._received
        self._patience = self.loop.at(self.loop.now + LINGER, lambda: self._impatient(until))
        self.discard()
        if self._reader is not None:
            self._reader.wake()

    def _half_close(self, end: ConnectionEnd) -> None:
        self._shut = True
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer's reset was quicker
            return self.abort(ConnectionEnd.RESET)
        if self._eof:
            return self.abort(end)
        self._interest()

    def _impatient(self, until: float) -> None:
        """Go on waiting for a peer that reads or sends; one that does neither is left."""
        moved = self.sent + self._received
        if moved == self._moved or self.loop.now >= until:
            return self.abort(self.closing or ConnectionEnd.TIMED_OUT)
        self._moved = moved
        self._patience = self.loop.at(min(until, self.loop.now + LINGER), lambda: self._impatient(until))

    def lingers(self) -> bool:
        """Whether all was sent, and only the peer's own close is awaited."""
        return self._shut and self.end is None

    def evict(self) -> None:
        """End at once, as what this peer does not read takes up the memory of the others."""
        self.abort(ConnectionEnd.EVICTED)

    def abort(self, end: ConnectionEnd) -> None:
        """End at once; the first end counts. The reader is told, then the owner."""
        if self.end is not None:
            return
        self.end = end
        self.loop.unsent -= self.out.size
        self.loop.senders.discard(self)
        if self._patience is not None:
            self._patience.cancel()
        # Let go of at once: what refers to a connection may live on, and connections come by the hundred. What was
        # received before the peer's end is still there for the reader.
        self.out = RingBuffer(0)
        if self.closing is not None or not self.ins.size:
            self.ins = RingBuffer(0)
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()
        self._on_end(end)
        if self._reader is not None:
            self._reader.wake()


Dial = Callable[[Loop, tuple[str, int], float], Generator[Wait, Any, "socket.socket | ConnectionEnd"]]


def connect(loop: Loop, address: tuple[str, int], span: float) -> Generator[Wait, Any, socket.socket | ConnectionEnd]:
    """A connected socket, or the end that the attempt came to."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:  # no descriptor is left
        return ConnectionEnd.UNREACHED
    sock.setblocking(False)
    code = sock.connect_ex(address)
    if code == errno.EINPROGRESS:
        wait = Wait(span)
        fd = sock.fileno()
        loop.watch(fd, select.EPOLLOUT, lambda mask: wait.wake(mask))
        mask = yield wait
        loop.unwatch(fd)
        if mask is None:
            sock.close()
            return ConnectionEnd.TIMED_OUT
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        sock.close()
        return ConnectionEnd.UNREACHED
    return sock
