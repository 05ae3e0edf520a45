"""The admin server: ``GET /v1/readyz`` and ``GET /v1/metrics`` on an address of its own (``server``).

The metrics are in the Prometheus text format (``metrics``).
"""

from lapishaven.admin.server import AdminServer, Host

__all__ = ["AdminServer", "Host"]
