"""The core: requests, attempts and answers. It knows no wire, no socket and no clock."""

from lapishaven.core.broker import Broker
from lapishaven.core.requests import Answer, AnswerKind, Submission

__all__ = ["Answer", "Broker", "AnswerKind", "Submission"]
