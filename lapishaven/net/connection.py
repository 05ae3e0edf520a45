"""One nonblocking TCP connection: two ring buffers, backpressure, a graceful and an immediate close.

``close`` is graceful (a lingering close, RFC 9112 section 9.6): queued bytes are sent, the connection is
half-closed, and input is read and discarded until the peer has closed too. Only then is the descriptor closed, because
closing a socket with unread bytes sends a reset, and a reset can overtake a response. ``abort`` closes at once;
a graceful close ends with it too.
"""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable, Generator
from typing import Any

from lapishaven.connection_end import ConnectionEnd
from lapishaven.net.loop import Loop, Timer, Wait
from lapishaven.net.ring_buffer import RingBuffer, RingBufferFullError

RECEIVE_BUFFER_LIMIT = 16 * 1024  # bytes
SEND_BUFFER_LIMIT = 512 * 1024  # bytes; a connection that would exceed it is evicted
SEND_HIGH_WATER_MARK = 128 * 1024  # from this many unsent bytes on, input is no longer read
LINGER_S = 1.0  # interval of checks in a graceful close, which is aborted if no byte moved since the last one
MAX_LINGER_S = 10.0  # maximum duration of a graceful close, even if the peer still reads or sends
ERROR_EVENTS = select.EPOLLERR | select.EPOLLHUP


class Connection:
    """A nonblocking byte stream. One coroutine calls ``read``; any code on the loop may call ``write`` and ``close``.

    A half-close by the peer does not end the connection: ``read`` returns ``PEER_CLOSED`` after all bytes that were
    received, and later writes are still sent. ``on_end`` is called once, after the descriptor has been closed.
    """

    def __init__(
        self, loop: Loop, sock: socket.socket, on_end: Callable[[ConnectionEnd], None], serves_peer: bool = False
    ) -> None:
        """With ``serves_peer``, input is requests of the peer, and worthless once it can receive no more.

        So nothing is read after a reset, and ``peer_finished`` tells of a half-close before all input has been read.
        """
        self.loop, self.sock, self._on_end = loop, sock, on_end
        self._serves_peer = serves_peer
        self.peer_finished = False  # with ``serves_peer``: the peer has shut down its sending direction
        self.receive_buffer, self.send_buffer = RingBuffer(RECEIVE_BUFFER_LIMIT), RingBuffer(SEND_BUFFER_LIMIT)
        self.end: ConnectionEnd | None = None  # the reason of the end, once ``abort`` was called
        self.sent = 0  # bytes that the kernel has accepted so far
        self.last_active = loop.now
        self.closing: ConnectionEnd | None = None  # the reason of a graceful close, once it has begun
        self._peer_half_closed = False  # the peer has shut down its sending direction
        self._discarding = False  # whether all further input is read and dropped
        self._half_closed = False  # this side has shut down its sending direction
        self._reader: Wait | None = None
        self._watched_events: int | None = None  # the registered epoll mask; ``None`` before the first one
        self._linger_timer: Timer | None = None
        self._bytes_at_linger_check = 0  # bytes in both directions when the linger timer was last set
        self._bytes_received = 0
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    # ---- Reading
    def read(self, timeout_s: float | None = None) -> Generator[Wait, Any, bytes | ConnectionEnd | None]:
        """The bytes received; once all were read, the reason of the end; ``None`` if none arrive in ``timeout_s``."""
        if not self.receive_buffer.size and self._end_of_input() is None:
            self._reader = Wait(timeout_s)
            self._update_interest()
            yield self._reader
            self._reader = None  # EPOLLIN stays registered; ``_on_events`` drops it if input arrives without a reader
        return self.receive_buffer.take() or self._end_of_input()

    def _end_of_input(self) -> ConnectionEnd | None:
        return self.end or self.closing or (ConnectionEnd.PEER_CLOSED if self._peer_half_closed else None)

    def read_available(self) -> bool:
        """Receive without waiting for the next poll; returns whether bytes or the end of the input had arrived."""
        before = self._bytes_received, self._peer_half_closed
        if self.end is None and self.receive_buffer.free_bytes:
            self._receive()
        return (self._bytes_received, self._peer_half_closed) != before

    def discard(self) -> None:
        """Read and discard all further input, so that a peer blocked in writing makes progress."""
        self._discarding = True
        self.receive_buffer.take()
        self._update_interest()

    def _on_events(self, mask: int) -> None:
        if self._serves_peer and mask & select.EPOLLERR:
            return self.abort(ConnectionEnd.RESET)
        if mask & select.EPOLLRDHUP:
            self.peer_finished = True
            self._update_interest()
        if mask & select.EPOLLOUT:
            self.flush()
        if self.end is not None or not mask & (select.EPOLLIN | ERROR_EVENTS):
            return
        if self._peer_half_closed:
            if mask & ERROR_EVENTS:
                # After the peer's half-close, an error event means that the peer has closed its receiving side too.
                self.abort(ConnectionEnd.PEER_CLOSED)
            return
        if self._reader is None and not self._discarding and not mask & ERROR_EVENTS:
            return self._update_interest()
        self._receive()

    def _receive(self) -> None:
        if self._peer_half_closed:
            return
        if self._discarding:
            self.receive_buffer.take()
        if not self.receive_buffer.free_bytes:
            # Reached only after an error event, as otherwise a full buffer is not read into. Without free space the
            # bytes that precede the end of the input cannot be received.
            return self.abort(ConnectionEnd.RESET)
        try:
            received = self.receive_buffer.receive(self.sock)
        except BlockingIOError:
            return
        except OSError:
            return self.abort(ConnectionEnd.RESET)
        self._bytes_received += received
        self.loop.received += received
        if received:
            self.last_active = self.loop.now
        else:
            self._peer_half_closed = True
        if self._discarding:
            self.receive_buffer.take()
        if self._half_closed and self._peer_half_closed:
            return self.abort(self.closing or ConnectionEnd.PEER_CLOSED)
        self._update_interest()
        if self._reader is not None:
            self._reader.wake()

    def _update_interest(self) -> None:
        if self.end is not None:
            return
        reading = self._discarding or self._reader is not None and self.send_buffer.size < SEND_HIGH_WATER_MARK
        events = select.EPOLLIN if reading and not self._peer_half_closed else 0
        events |= select.EPOLLOUT if self.send_buffer.size else 0
        events |= select.EPOLLRDHUP if self._serves_peer and not self.peer_finished else 0
        if events != self._watched_events:
            self._watched_events = events
            self.loop.watch(self.sock.fileno(), events, self._on_events)

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed its side, as an event has told or is seen once all that it sent was read."""
        if self.end is not None or self._peer_half_closed or self.peer_finished:
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
        return self.send_buffer.size

    def write(self, data: bytes) -> None:
        """Queue bytes to be sent at the end of the round; ignored after ``close`` or ``abort``.

        A connection whose send buffer is full is evicted.
        """
        if self.end is not None or self.closing is not None:
            return
        if not self.loop.reserve_unsent(len(data), self):
            return
        try:
            self.send_buffer.write(data)
        except RingBufferFullError:
            return self.evict()
        self.loop.unsent += len(data)
        self.loop.senders.add(self)
        self.last_active = self.loop.now
        self.loop.at_end_of_round(self.flush)

    def flush(self) -> None:
        """Send as many queued bytes as the kernel accepts without blocking."""
        try:
            while self.end is None and self.send_buffer.size:
                count = self.send_buffer.send(self.sock)
                self.sent += count
                self.loop.sent += count
                self.loop.unsent -= count
        except BlockingIOError:
            pass
        except OSError:
            return self.abort(ConnectionEnd.RESET)
        if not self.send_buffer.size:
            self.loop.senders.discard(self)
            if self.closing is not None and self.end is None and not self._half_closed:
                return self._half_close(self.closing)
        self._update_interest()

    # ---- Ending
    def close(self, end: ConnectionEnd, unsent: bool = True) -> None:
        """Close gracefully: send queued bytes, half-close, discard input, and wait for the peer to close.

        With ``unsent`` false, queued bytes are dropped instead of sent: a withdrawn request must not become complete at
        the peer.
        """
        if self.end is not None or self.closing is not None:
            return
        self.closing = end
        if not unsent:
            self.loop.unsent -= self.send_buffer.size
            self.send_buffer = RingBuffer(0)
        self.loop.at_end_of_round(self.flush)
        linger_deadline = self.loop.now + MAX_LINGER_S
        self._bytes_at_linger_check = self.sent + self._bytes_received
        self._linger_timer = self.loop.at(self.loop.now + LINGER_S, lambda: self._check_linger(linger_deadline))
        self.discard()
        if self._reader is not None:
            self._reader.wake()

    def _half_close(self, end: ConnectionEnd) -> None:
        self._half_closed = True
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer has already reset the connection
            return self.abort(ConnectionEnd.RESET)
        if self._peer_half_closed:
            return self.abort(end)
        self._update_interest()

    def _check_linger(self, deadline: float) -> None:
        """Abort if no byte was transferred since the last check or ``deadline`` has passed; else check again later."""
        transferred = self.sent + self._bytes_received
        if transferred == self._bytes_at_linger_check or self.loop.now >= deadline:
            return self.abort(self.closing or ConnectionEnd.TIMED_OUT)
        self._bytes_at_linger_check = transferred
        self._linger_timer = self.loop.at(min(deadline, self.loop.now + LINGER_S), lambda: self._check_linger(deadline))

    def awaits_peer_close(self) -> bool:
        """Whether all bytes were sent and the half-close is done, so that only the peer's close is missing."""
        return self._half_closed and self.end is None

    def evict(self) -> None:
        """Abort, to free for other connections the memory of unsent bytes that the peer does not read."""
        self.abort(ConnectionEnd.EVICTED)

    def abort(self, end: ConnectionEnd) -> None:
        """Close at once; later calls do nothing. ``on_end`` is called, then the waiting reader is resumed."""
        if self.end is not None:
            return
        self.end = end
        self.loop.unsent -= self.send_buffer.size
        self.loop.senders.discard(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        # Buffers are released here because other objects may keep references to an ended connection. Bytes that were
        # received before the end stay available to the reader, unless the peer awaited answers to them.
        self.send_buffer = RingBuffer(0)
        if self._serves_peer or self.closing is not None or not self.receive_buffer.size:
            self.receive_buffer = RingBuffer(0)
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()
        self._on_end(end)
        if self._reader is not None:
            self._reader.wake()


# The signature of ``connect``, which can be replaced by another function that opens connections.
Dial = Callable[[Loop, tuple[str, int], float], Generator[Wait, Any, "socket.socket | ConnectionEnd"]]


def connect(
    loop: Loop, address: tuple[str, int], timeout_s: float
) -> Generator[Wait, Any, socket.socket | ConnectionEnd]:
    """Open a TCP connection within ``timeout_s``; returns the socket, or the reason of the failure."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:  # no file descriptor is available
        return ConnectionEnd.UNREACHED
    sock.setblocking(False)
    code = sock.connect_ex(address)
    if code == errno.EINPROGRESS:
        wait = Wait(timeout_s)
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
