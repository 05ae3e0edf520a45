"""A listening socket within a budget of descriptors."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from lapishaven.net.loop import Loop, Timer

ACCEPTS = 64  # connections taken in one wake-up, so that a burst of them does not starve the rest
FULL_WAIT = 0.02  # s until the next look, where there is no descriptor for who waits at the door


class Budget:
    """How many connections may be open, a reserve for the program's own descriptors left out."""

    def __init__(self, descriptors: int, reserve: int) -> None:
        self.room = max(1, descriptors - reserve)
        self.used = 0

    @property
    def full(self) -> bool:
        """Whether no further connection may be opened."""
        return self.used >= self.room


class Listener:
    """Accepts while the budget has room; ``make_room`` may close what is idle."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        budget: Budget,
        accepted: Callable[[socket.socket], None],
        make_room: Callable[[], bool],
        inherited: int | None = None,
    ) -> None:
        """Bind ``address``; or, with ``inherited``, serve the listening socket of that descriptor, which another
        process (the platform, and an older or newer process of this server) holds as well, from ``open`` on.
        Raises ``OSError``."""
        self.loop, self.budget, self._accepted, self._make_room = loop, budget, accepted, make_room
        self.shared = inherited is not None
        if inherited is not None:
            self.sock: socket.socket | None = socket.socket(fileno=inherited)
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN) != 1:
                raise OSError(f"descriptor {inherited} is not a listening socket")
            self.sock.setblocking(False)
        else:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.setblocking(False)
            self.sock.bind(address)
            self.sock.listen(1024)
        self.address: tuple[str, int] = self.sock.getsockname()
        self._opened = False
        self._full: Timer | None = None
        if not self.shared:
            self.open()

    def open(self) -> None:
        """Begin to accept; nothing happens where that has begun. A shared socket waits for it, as its queue is
        served by the other process until this one can."""
        if not self._opened:
            self._opened = True
            self._resume()

    def _resume(self) -> None:
        self._full = None
        if self.sock is not None:
            self.loop.watch(self.sock.fileno(), select.EPOLLIN, self._ready)

    def _wait_for_room(self) -> None:
        # Left in the queue rather than accepted and dropped: who waits there has lost nothing yet.
        if self.sock is not None and self._full is None:
            self.loop.unwatch(self.sock.fileno())
            self._full = self.loop.at(self.loop.now + FULL_WAIT, self._resume)

    def room_made(self) -> None:
        """A descriptor came free: who waits at the door need not wait for the next look."""
        if self._full is not None:
            self._full.cancel()
            self._resume()

    def _ready(self, mask: int) -> None:
        for n in range(ACCEPTS):
            if n and self.budget.full:
                return  # epoll tells again if another one waits; none must be pushed out for nobody
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Serve the next in the queue; whether there was one, and a descriptor for it."""
        if self.sock is None:
            return False
        if self.budget.full and not self._make_room():
            self._wait_for_room()
            return False
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return False
        except ConnectionError:
            return True  # it has left the queue already
        except OSError:
            self._wait_for_room()
            return False
        self.adopt(sock)
        return True

    def adopt(self, sock: socket.socket) -> None:
        """Serve a connection that is there already."""
        self.budget.used += 1
        self._accepted(sock)

    def close(self) -> bool:
        """Take all that the kernel has accepted already, as it may carry requests, then shut the door. Whether it is
        shut: with no descriptor for who waits there it stays open, to be closed later.

        A shared socket is left to the other process that holds it: what waits in its queue is for that one.
        """
        if self.sock is None:
            return True
        if not self.shared:
            while self._accept():
                pass
            if self._full is not None:
                return False
        self.abandon()
        return True

    def abandon(self) -> None:
        """Shut the door, whoever waits there."""
        if self.sock is not None:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
            self.sock = None
        if self._full is not None:
            self._full.cancel()
            self._full = None
