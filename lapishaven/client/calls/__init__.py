"""The life of a call: the call table, the attempts made for it, retries, waiting, and outlier ejection."""
