"""Keyed results over restarts: what a repeat of an effect is told, whichever life of the server ran it."""

from lapishaven.idempotency.result_index import Entry, ResultIndex, Standing
from lapishaven.idempotency.result_store import DurableResults

__all__ = ["Entry", "DurableResults", "ResultIndex", "Standing"]
