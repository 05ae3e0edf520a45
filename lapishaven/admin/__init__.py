"""The admin server: ``/v1/readyz``, ``/v1/metrics`` and ``/v1/spread`` on an address of its own (``server``).

The metrics are in the Prometheus text format (``metrics``).
"""

from lapishaven.admin.server import AdminServer, Host

__all__ = ["AdminServer", "Host"]
