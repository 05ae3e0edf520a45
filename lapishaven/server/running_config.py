"""The configuration in force, shared by the parts of the server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lapishaven.config import ConfigFiles, NodeConfig
from lapishaven.core.contracts import Contract

if TYPE_CHECKING:
    from lapishaven.pools import PoolSettings


class RunningConfig:
    """What the files of the start said, with what the reloads since have changed."""

    def __init__(self, files: ConfigFiles) -> None:
        self.config: NodeConfig = files.config
        self.contracts: list[Contract] | None = files.contracts  # None: contracts are not checked
        self.pools: PoolSettings | None = files.pools  # None: all classes share the capacity
        self.classes = {spec.name: index for index, spec in enumerate(files.config.settings.classes)}
        """The classes that callers may name, by name their places in the settings."""
        self.tenants = {tenant.name: index for index, tenant in enumerate(files.config.settings.tenants)}
        """The tenants, by name their places in the settings."""
