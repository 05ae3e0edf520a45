"""A listening socket that accepts connections within a budget of file descriptors."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from lapishaven.net.loop import Loop, Timer

MAX_ACCEPTS_PER_WAKEUP = 64  # so that a burst of connections does not starve other descriptors
LISTEN_BACKLOG = 1024  # the kernel may apply a lower limit of its own
DESCRIPTOR_RETRY_S = 0.02  # delay before accepting again when no descriptor was available


class DescriptorBudget:
    """The number of client connections that may be open: the descriptor limit minus a reserve for other descriptors."""

    def __init__(self, descriptors: int, reserve: int) -> None:
        self.limit = max(1, descriptors - reserve)
        self.used = 0  # incremented by the listener, decremented by the owner of a connection that has ended

    @property
    def full(self) -> bool:
        """Whether no further connection may be accepted."""
        return self.used >= self.limit


class Listener:
    """Accepts connections up to the budget.

    ``on_accepted`` is called with each accepted socket.
    ``make_room`` is called when the budget is used up, and may evict idle connections; it returns whether a
    descriptor is free.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        budget: DescriptorBudget,
        on_accepted: Callable[[socket.socket], None],
        make_room: Callable[[], bool],
        inherited: int | None = None,
    ) -> None:
        """Bind ``address`` and listen, or take over the listening socket with the descriptor ``inherited``.

        An inherited socket is shared with other processes (the platform, an older or newer process of this server), so
        accepting starts only with ``open``. Raises ``OSError``.
        """
        self.loop, self.budget, self._on_accepted, self._make_room = loop, budget, on_accepted, make_room
        self.shared = inherited is not None
        if inherited is not None:
            self.sock: socket.socket | None = socket.socket(fileno=inherited)
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN) != 1:
                raise OSError(f"inherited descriptor {inherited} is not a listening socket")
            self.sock.setblocking(False)
        else:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.setblocking(False)
            self.sock.bind(address)
            self.sock.listen(LISTEN_BACKLOG)
        self.address: tuple[str, int] = self.sock.getsockname()
        self._opened = False
        self._retry_timer: Timer | None = None
        if not self.shared:
            self.open()

    def open(self) -> None:
        """Start to accept; further calls do nothing. Until then only other processes accept from a shared socket."""
        if not self._opened:
            self._opened = True
            self._resume()

    def _resume(self) -> None:
        self._retry_timer = None
        if self.sock is not None:
            self.loop.watch(self.sock.fileno(), select.EPOLLIN, self._on_events)

    def _wait_for_descriptor(self) -> None:
        # Connections wait in the kernel's queue meanwhile, rather than being accepted and dropped.
        if self.sock is not None and self._retry_timer is None:
            self.loop.unwatch(self.sock.fileno())
            self._retry_timer = self.loop.at(self.loop.now + DESCRIPTOR_RETRY_S, self._resume)

    def descriptor_freed(self) -> None:
        """Accept again at once if accepting is suspended because no descriptor was available."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._resume()

    def _on_events(self, mask: int) -> None:
        # Only the first accept may evict an idle connection (``_make_room``), as the event shows that a connection is
        # queued. Whether more are queued is unknown, and an eviction for none would be a loss.
        for accepted in range(MAX_ACCEPTS_PER_WAKEUP):
            if accepted and self.budget.full:
                return  # epoll reports further queued connections again; an eviction needs such a report
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Accept the next connection; returns whether one was queued and a descriptor was available."""
        if self.sock is None:
            return False
        if self.budget.full and not self._make_room():
            self._wait_for_descriptor()
            return False
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return False
        except ConnectionError:
            return True  # the peer has closed the queued connection
        except OSError:
            self._wait_for_descriptor()
            return False
        self.adopt(sock)
        return True

    def adopt(self, sock: socket.socket) -> None:
        """Take over a connection that is already accepted."""
        self.budget.used += 1
        self._on_accepted(sock)

    def close(self) -> bool:
        """Accept all queued connections, which may carry requests, then stop listening.

        Returns whether it has stopped: while no descriptor is available for a queued connection it keeps listening, and
        ``close`` has to be called again. Connections queued on a shared socket are left to the other process.
        """
        if self.sock is None:
            return True
        if not self.shared:
            while self._accept():
                pass
            if self._retry_timer is not None:
                return False
        self.abandon()
        return True

    def abandon(self) -> None:
        """Stop listening at once; the kernel resets queued connections, unless another process shares the socket."""
        if self.sock is not None:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
            self.sock = None
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
