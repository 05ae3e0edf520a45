"""Results by idempotency key that outlive a restart, so that a repeat is answered whichever process ran the effect."""

from lapishaven.idempotency.result_index import EffectState, Entry, ResultIndex
from lapishaven.idempotency.result_store import DurableResults

__all__ = ["DurableResults", "EffectState", "Entry", "ResultIndex"]
