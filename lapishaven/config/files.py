"""Loads all configuration files, at the start and at each reload, and checks them against each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lapishaven.admission import Settings
from lapishaven.config.contracts import load_contracts
from lapishaven.config.node import NodeConfig, load_config
from lapishaven.config.uwsgi import UwsgiBackendConfig, UwsgiFrontendConfig, load_uwsgi
from lapishaven.config.values import ConfigError
from lapishaven.core.contracts import Contract

if TYPE_CHECKING:
    from lapishaven.load_balancing.settings import BalancingSettings
    from lapishaven.pools.settings import PoolSettings


@dataclass(frozen=True, slots=True)
class ConfigFiles:
    """The content of all configuration files; ``None`` for a feature that is off."""

    config: NodeConfig
    front: UwsgiFrontendConfig | None = None
    backend: UwsgiBackendConfig | None = None
    contracts: list[Contract] | None = None
    pools: PoolSettings | None = None
    spread: BalancingSettings | None = None  # load balancing over several uwsgi endpoints


def load_files(
    config_path: str | None = None,
    uwsgi_path: str | None = None,
    contracts_path: str | None = None,
    pools_path: str | None = None,
    spread_path: str | None = None,
) -> ConfigFiles:
    """Load the given files and check them against each other. Raises ``ConfigError``."""
    config = load_config(config_path)
    front, backend = load_uwsgi(uwsgi_path) if uwsgi_path else (None, None)
    if spread_path and backend:
        raise ConfigError(
            f"{uwsgi_path} names a uwsgi backend and {spread_path} names several; only one file may name backends"
        )
    routes = {"interpreter"}  # the backends to which a contract may route
    if backend or spread_path:
        routes.add("uwsgi")
    return ConfigFiles(
        config=config,
        front=front,
        backend=backend,
        contracts=load_contracts(contracts_path, config.settings, routes) if contracts_path else None,
        pools=_load_pools(pools_path, config.settings) if pools_path else None,
        spread=_load_spread(spread_path) if spread_path else None,
    )


def _load_spread(path: str) -> BalancingSettings:
    from lapishaven.load_balancing import settings as load_balancing

    try:
        return load_balancing.load_settings(path)
    except load_balancing.BalancingSettingsError as error:
        raise ConfigError(str(error)) from None


def _load_pools(path: str, settings: Settings) -> PoolSettings:
    from lapishaven.pools import settings as pools

    class_names = [request_class.name for request_class in settings.classes]
    try:
        return pools.load(path, class_names, settings.cores)
    except pools.PoolsError as error:
        raise ConfigError(str(error)) from None
