"""Tenant quotas: requests that exceed the quota of their tenant get a lower priority weight."""

from __future__ import annotations

from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.settings import Settings

RATE_WINDOW_S = 5.0  # averages about 30 requests of a tenant, for a relative error of about 1/6


class TenantQuotas:
    """Compares each tenant's request rate at this instance with an equal share of its fleet-wide quota."""

    __slots__ = ("_rates", "_settings", "_weights", "arrived")

    def __init__(self, settings: Settings) -> None:
        count = len(settings.tenants)
        self.arrived = [0] * count
        """Requests by tenant since the last load sample."""
        self._rates = [0.0] * count  # requests per second
        self._weights = [1.0] * count
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new quotas; the tenants stay the same."""
        self._settings = settings

    def record(self, tenant_index: int) -> float:
        """Count a request; return the factor for its priority weight, 1 for a tenant without a quota."""
        if tenant_index >= len(self.arrived):
            return 1.0
        self.arrived[tenant_index] += 1
        return self._weights[tenant_index]

    def update(self) -> None:
        """Update rates and factors at a load sample.

        The factor is the average over a tenant's requests of 1 for those within the quota and ``over_quota_weight``
        for those beyond it.
        """
        settings = self._settings
        for index, tenant in enumerate(settings.tenants):
            rate = self._rates[index]
            rate += POLL_INTERVAL_S / RATE_WINDOW_S * (self.arrived[index] / POLL_INTERVAL_S - rate)
            self._rates[index] = rate
            self.arrived[index] = 0
            local_quota = tenant.quota / max(1, settings.peer_count)
            within_quota = min(1.0, local_quota / rate) if rate > 0 else 1.0
            self._weights[index] = within_quota + settings.over_quota_weight * (1.0 - within_quota)
