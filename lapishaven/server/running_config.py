"""The configuration in force, shared by the components of the server."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lapishaven.config import ConfigFiles, NodeConfig
from lapishaven.core.contracts import Contract
from lapishaven.server.kill_time import seconds_to_kill

if TYPE_CHECKING:
    from lapishaven.pools import PoolSettings


@dataclass(frozen=True, slots=True)
class RunningSnapshot:
    """The configuration in force at one time."""

    config: NodeConfig
    contracts: list[Contract] | None
    pools: PoolSettings | None
    classes: Mapping[str, int]


class RunningConfig:
    """The configuration of the last successful load; reloads change it in place."""

    def __init__(self, files: ConfigFiles) -> None:
        self.config: NodeConfig = files.config
        self.contracts: list[Contract] | None = files.contracts  # None: contracts are off
        self.pools: PoolSettings | None = files.pools  # None: all classes share one capacity
        self.classes = {spec.name: index for index, spec in enumerate(files.config.settings.classes)}
        """Indexes of the classes that callers may use in the settings, by class name."""
        self.tenants = {tenant.name: index for index, tenant in enumerate(files.config.settings.tenants)}
        """Indexes of the tenants in the settings, by tenant name."""

    def snapshot(self) -> RunningSnapshot:
        """What is in force now."""
        return RunningSnapshot(self.config, self.contracts, self.pools, dict(self.classes))

    def restore(self, snapshot: RunningSnapshot) -> None:
        """Put an earlier snapshot in force again."""
        self.config = snapshot.config
        self.contracts = snapshot.contracts
        self.pools = snapshot.pools
        self.classes = dict(snapshot.classes)

    def seconds_to_kill(self) -> float:
        """Seconds from SIGTERM to SIGKILL, at the least."""
        deadlines = [self.config.settings.classes[index].deadline for index in self.classes.values()]
        return seconds_to_kill(self.config.stop_timeout_s, self.config.inherited_fd is not None, deadlines)
