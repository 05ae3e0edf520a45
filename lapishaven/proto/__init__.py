"""Protocols as state machines: fed bytes, they give typed messages. No socket, no clock, no decision."""


class ProtocolError(ValueError):
    """What came cannot be read any further; the text says why."""


class TooLargeError(ProtocolError):
    """A part of a message is longer than its protocol allows."""
