"""The match server: assembles its components and runs them until a graceful shutdown is complete."""

from lapishaven.server.server import Server, ServerOptions

__all__ = ["Server", "ServerOptions"]
