"""Protocols as state machines (sans-IO): fed bytes, they give typed messages. No socket, no clock, no decision.

Themed field names of the platform's protocols are mapped to the standard terms here and nowhere else.
"""


class ProtocolError(ValueError):
    """The peer broke the protocol and its bytes cannot be parsed any further; the text says how."""


class TooLargeError(ProtocolError):
    """A part of a message is longer than allowed."""
