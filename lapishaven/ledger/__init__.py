"""The ledger: effects that run at most once and are charged exactly once, durable before the reply is sent.

Several servers share one SQLite file. ``transitions`` and ``backpressure`` hold the rules and do no I/O; ``database``
accesses the file, ``writer`` is the thread that commits in groups, ``recorder`` implements the core's result store,
and ``audit`` compares effects with charges. ``docs/design/record.md`` gives the design reasons.
"""
