"""The control address: ``GET /v1/readyz`` and ``GET /v1/metrics`` on a door of its own (``door``), with the
figures in the Prometheus text format (``metrics``)."""

from lapishaven.admin.server import AdminServer, Host

__all__ = ["AdminServer", "Host"]
