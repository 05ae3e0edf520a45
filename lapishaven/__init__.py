"""lapishaven: a match server with admission control, and its client library."""

__version__ = "0.1.0"
