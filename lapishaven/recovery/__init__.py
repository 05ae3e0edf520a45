"""Keyed results over restarts: what a repeat of an effect is told, whichever life of the server ran it."""

from lapishaven.recovery.keeper import KeyedResults
from lapishaven.recovery.ledger import Entry, Ledger, Standing

__all__ = ["Entry", "KeyedResults", "Ledger", "Standing"]
