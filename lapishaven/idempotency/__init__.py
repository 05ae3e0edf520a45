"""Results by idempotency key that outlive a restart, so that a retry is answered whichever process ran the effect."""

from lapishaven.idempotency.result_index import Entry, ResultIndex
from lapishaven.idempotency.result_store import DurableResults

__all__ = ["DurableResults", "Entry", "ResultIndex"]
