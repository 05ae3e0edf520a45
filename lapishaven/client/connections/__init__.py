"""Endpoints and connections to them: the endpoint table, dialling, idle timeouts and probes.

- ``fleet/connection_manager.py`` chooses which endpoints to keep connected and which to dial next;
- ``fleet/dial_schedule.py`` gives the times at which a client of a fleet may make such dials;
- ``connections/dial_budget.py`` bounds the dials of the process and gives the backoff after a failed one;
- ``connections/dialer.py`` carries these decisions out.
"""
