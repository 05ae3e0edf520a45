"""Load balancing over many endpoints by many independent balancers, each of which sends only a small part of the load.

The package performs no I/O; the time and the source of randomness are arguments. ``balancer.LoadBalancer`` is the
entry point. It is composed of ``endpoint_table`` and ``endpoint_state`` (the state of each endpoint),
``endpoint_selector``, ``endpoint_cost`` and ``report_cache`` (choosing an endpoint), ``failure_detector``
(unresponsive endpoints), ``outlier_ejection`` (failing endpoints) and ``retry_budget``. ``load_reporter`` runs in the
endpoints and produces their load reports. See ``docs/design/spread.md`` for the design.
"""

from lapishaven.load_balancing.balancer import LoadBalancer
from lapishaven.load_balancing.choice import AttemptOutcome, Choice, Probe
from lapishaven.load_balancing.load_report import LoadReport, LoadReportError, decode, encode, is_newer
from lapishaven.load_balancing.rules import BalancingRules

__all__ = [
    "AttemptOutcome",
    "BalancingRules",
    "Choice",
    "LoadBalancer",
    "LoadReport",
    "LoadReportError",
    "Probe",
    "decode",
    "encode",
    "is_newer",
]
