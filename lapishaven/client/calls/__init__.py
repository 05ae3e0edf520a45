"""The life cycle of a call: the call table, attempts, retries, the waiting queue, and outlier ejection."""
