"""One owner at a time for work that belongs to the fleet: leases, shards, fencing tokens, and the duties that use them.

Pure decisions: ``lease``, ``session``, ``assignment``, ``placement``, ``schedule`` and ``member`` (which composes
them), ``fence``, ``overload``, ``verify``. I/O: ``coordinators`` hold the leases, ``fenced_store`` is the receiver of
effects (``receiver`` puts it behind an address), ``driver`` and ``agent`` are the threads. ``participant`` is a match
server's part. ``docs/design/ownership.md`` gives the reasons.
"""
