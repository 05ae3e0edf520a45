"""Load balancing over many endpoints by balancers each of which sees little of the load.

Pure: no I/O; the time and the source of randomness are arguments. ``balancer.LoadBalancer`` is the entry. It is
composed of ``endpoint_table`` and ``endpoint_state`` (what is known), ``endpoint_selector``, ``endpoint_cost`` and
``report_cache`` (the choice), ``failure_detector`` (unresponsive endpoints), ``outlier_ejection`` (failing ones) and
``retry_budget``. The other side is ``load_reporter``, which makes the reports.
``docs/design/spread.md`` has the reasons.
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
