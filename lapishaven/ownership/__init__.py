"""Ownership of the fleet's duties: each shard has one owner at a time, by leases and fencing tokens.

Pure decisions: ``lease``, ``session``, ``assignment``, ``placement``, ``schedule`` and ``member`` (which composes
them), ``fence``, ``overload``, ``verify``. I/O: ``coordinators`` hold the leases, ``fenced_store`` is the receiver of
effects (``receiver`` serves it over TCP), ``driver`` and ``agent`` are the threads. ``participant`` connects a match
server. ``docs/design/ownership.md`` gives the reasons.
"""
