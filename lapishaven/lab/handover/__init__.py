"""Handover trials on real processes: a stand-in platform, an open-loop caller, and a log that checks the protocol."""

from lapishaven.lab.handover.book import RequestLog, RequestOutcome, Verdict
from lapishaven.lab.handover.trial import Report, Spec, run

__all__ = ["Report", "RequestLog", "RequestOutcome", "Spec", "Verdict", "run"]
