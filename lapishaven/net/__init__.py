"""Nonblocking sockets on one epoll loop, with generators as coroutines; independent of the protocols above it."""
