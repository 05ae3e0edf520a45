"""Nonblocking sockets on one epoll loop, with generators as coroutines. It knows no protocol."""
