"""Endpoints and their connections: the endpoint table, dials, idle timeouts and probes.

- ``fleet/connection_manager.py`` chooses the endpoints to keep connected and the next dial;
- ``fleet/dial_schedule.py`` assigns the time slots in which each client of a fleet may dial;
- ``connections/dial_budget.py`` limits the dials of the process and computes the backoff after a failed one;
- ``connections/dialer.py`` executes these decisions.
"""
