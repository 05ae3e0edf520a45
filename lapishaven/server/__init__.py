"""The match server: its parts put together, from start to the end of a graceful shutdown."""

from lapishaven.server.server import Server, ServerOptions

__all__ = ["Server", "ServerOptions"]
