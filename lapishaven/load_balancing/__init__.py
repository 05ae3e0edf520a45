"""Load spread evenly over many processes by choosers each of which sees little of it.

Pure: no I/O, time and randomness are arguments. ``news`` is what a process says of itself and ``teller`` makes it,
``known`` is what a chooser knows of one process, ``silence`` judges who says nothing, ``draw`` draws at random by
weight, ``spread.Spread`` chooses. ``docs/design/spread.md`` says why.
"""

from lapishaven.load_balancing.balancer import LoadBalancer
from lapishaven.load_balancing.load_report import LoadReport, LoadReportError, newer, pack, unpack
from lapishaven.load_balancing.model import Choice, Ending, Probe, Rules

__all__ = [
    "Choice",
    "Ending",
    "LoadReport",
    "LoadReportError",
    "Probe",
    "Rules",
    "LoadBalancer",
    "newer",
    "pack",
    "unpack",
]
