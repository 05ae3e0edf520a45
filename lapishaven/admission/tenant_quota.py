"""The quota of each tenant, which lowers the priority weight of what goes beyond it."""

from __future__ import annotations

from lapishaven.admission.load_measurement import POLL_INTERVAL_S
from lapishaven.admission.settings import Settings

RATE_WINDOW_S = 5.0  # span of a tenant's mean rate: about thirty requests, so its noise is about a sixth


class TenantQuotas:
    """The rate of each tenant at this instance, against an equal part of its quota over the fleet."""

    __slots__ = ("_rates", "_settings", "_weights", "arrived")

    def __init__(self, settings: Settings) -> None:
        count = len(settings.tenants)
        self.arrived = [0] * count
        """Requests by tenant since the last load sample."""
        self._rates = [0.0] * count  # requests a second
        self._weights = [1.0] * count
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take over new quotas; the tenants stay the same."""
        self._settings = settings

    def record(self, tenant_index: int) -> float:
        """Count a request; return the factor for its priority weight, 1 for a tenant without a quota."""
        if tenant_index >= len(self.arrived):
            return 1.0
        self.arrived[tenant_index] += 1
        return self._weights[tenant_index]

    def update(self) -> None:
        """Bring rates and factors up to date at a load sample.

        The factor is 1 for the share of the rate that is inside the quota and ``over_quota_weight`` for the rest.
        """
        settings = self._settings
        for index, tenant in enumerate(settings.tenants):
            rate = self._rates[index]
            rate += POLL_INTERVAL_S / RATE_WINDOW_S * (self.arrived[index] / POLL_INTERVAL_S - rate)
            self._rates[index] = rate
            self.arrived[index] = 0
            local_quota = tenant.quota / max(1, settings.peer_count)
            inside = min(1.0, local_quota / rate) if rate > 0 else 1.0
            self._weights[index] = inside + settings.over_quota_weight * (1.0 - inside)
