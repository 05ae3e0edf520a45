"""cometdrum: an overload controller that lives inside each server of a fleet."""

from cometdrum.controller import Controller

__all__ = ["Controller"]
