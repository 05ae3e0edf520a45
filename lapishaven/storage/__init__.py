"""An embedded, single-writer, log-structured key-value store for many small keys. Usable on its own::

with Store.open("results") as store:
    store.put(b"key", b"value").result()  # durable once the future is done
    store.get(b"key")
"""

from lapishaven.storage.errors import Damage, StoreError, StoreFullError, StoreLockedError, StoreWriteError
from lapishaven.storage.segments import Limits
from lapishaven.storage.store import Store

__all__ = ["Damage", "Limits", "Store", "StoreWriteError", "StoreError", "StoreFullError", "StoreLockedError"]
