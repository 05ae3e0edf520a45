"""Protocols as state machines (sans-IO): bytes in, typed messages out, without sockets, clocks or decisions.

The platform's own field names are mapped to standard terms in this package and nowhere else.
"""


class ProtocolError(ValueError):
    """The peer violated the protocol, and its further bytes cannot be parsed; the message names the violation."""


class TooLargeError(ProtocolError):
    """A message, or a part of it, exceeds its size limit."""
