"""lapishaven: a match server with admission control on real sockets."""

__version__ = "0.1.0"
