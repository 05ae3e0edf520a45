"""Results by idempotency key that survive a restart, so that a retry is answered by whichever process receives it."""

from lapishaven.idempotency.result_index import Entry, ResultIndex
from lapishaven.idempotency.result_store import DurableResults

__all__ = ["DurableResults", "Entry", "ResultIndex"]
