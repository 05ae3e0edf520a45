"""The lifecycle of requests, attempts and answers, independent of protocols, sockets and clocks."""

from lapishaven.core.broker import Broker
from lapishaven.core.requests import Answer, AnswerKind, Submission

__all__ = ["Answer", "Broker", "AnswerKind", "Submission"]
