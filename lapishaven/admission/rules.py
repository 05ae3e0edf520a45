"""The admission rules of one instance, each implemented in its own module."""

from __future__ import annotations

from lapishaven.admission.callers import CallerTable
from lapishaven.admission.concurrency_limit import ConcurrencyLimit
from lapishaven.admission.connection_limits import IdleTimeout
from lapishaven.admission.deadlines import DeadlineQueue
from lapishaven.admission.deduplication import KeyReservations
from lapishaven.admission.dependency_calls import DependencyCalls
from lapishaven.admission.draining import Drain
from lapishaven.admission.estimate_probes import EstimateProbes
from lapishaven.admission.health import HealthStatus
from lapishaven.admission.load_measurement import LoadMeasurement
from lapishaven.admission.load_signal import LoadSignal
from lapishaven.admission.memory_budget import MemoryBudget
from lapishaven.admission.ports import AdmissionPools
from lapishaven.admission.rejection_probability import LoadShedding
from lapishaven.admission.request_table import RequestTable
from lapishaven.admission.run_latency import RunLatency
from lapishaven.admission.settings import Settings, check_reload
from lapishaven.admission.tenant_quota import TenantQuotas


class AdmissionRules:
    """The rules, the request table and the settings that the event handlers of an instance share."""

    def __init__(self, settings: Settings, pools: AdmissionPools | None) -> None:
        self.settings = settings
        self.pools = pools
        self.memory = MemoryBudget(settings)
        self.table = RequestTable(self.memory)
        self.deadlines = DeadlineQueue()
        self.run_latency = RunLatency(settings, pools)
        self.probes = EstimateProbes(settings)
        self.load = LoadMeasurement(settings)
        self.shedding = LoadShedding()
        self.concurrency = ConcurrencyLimit(settings)
        self.reservations = KeyReservations(settings, self.memory)
        self.dependency = DependencyCalls(settings)
        self.drain = Drain(settings)
        self.signal = LoadSignal(settings)
        self.health = HealthStatus(settings)
        self.callers = CallerTable(settings)
        self.idle_timeout = IdleTimeout(settings)
        self.quotas = TenantQuotas(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply reloaded settings to every rule; see ``Controller.apply_settings``."""
        check_reload(self.settings, settings)
        self.settings = settings
        for rule in (
            self.memory,
            self.run_latency,
            self.probes,
            self.load,
            self.concurrency,
            self.reservations,
            self.dependency,
            self.drain,
            self.signal,
            self.health,
            self.callers,
            self.idle_timeout,
            self.quotas,
        ):
            rule.apply_settings(settings)
