"""The store of record: effects that ran once and are charged once, durable before their reply, many servers a file.

``table`` and ``flow`` decide and do no I/O; ``base`` is the SQLite file, ``writer`` the thread that commits in groups,
``keeper`` the Broker's port, ``audit`` holds effects and ledger against each other. ``docs/design/record.md`` says why.
"""
