"""The ledger, or store of record: effects that run once and are charged once, durable before their reply.

Several servers share one file. ``transitions`` and ``backpressure`` decide and do no I/O; ``database`` is the SQLite
file, ``writer`` the thread that commits in groups, ``recorder`` the core's result store, ``audit`` compares effects
with charges. ``docs/design/record.md`` has the reasons.
"""
