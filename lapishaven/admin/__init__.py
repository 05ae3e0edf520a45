"""The admin server: ``/v1/readyz``, ``/v1/metrics`` and ``/v1/spread`` on a separate address.

``server`` answers the requests; ``metrics`` renders the Prometheus text format.
"""

from lapishaven.admin.server import AdminServer, Host

__all__ = ["AdminServer", "Host"]
