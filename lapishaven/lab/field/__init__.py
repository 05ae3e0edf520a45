"""A harness for tests with many real processes on loopback, planned faults, and a checker of the results.

``field`` starts and ends the processes, ``process`` is the member process that it starts, ``plan`` draws faults,
``relay`` injects network faults between two processes, and ``checker`` searches the processes' event histories and the
receivers' rows for a violated property.
"""

from lapishaven.lab.field.field import HarnessError, ProcessHarness

__all__ = ["HarnessError", "ProcessHarness"]
