"""Reloads the configuration on SIGHUP.

Open requests, runs and connections continue. If any file is invalid, nothing changes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from lapishaven.admission import Settings
from lapishaven.config import ConfigError, ConfigFiles, NodeConfig, keep_class_numbers
from lapishaven.core.contracts import Contracts
from lapishaven.core.ports import FleetMember
from lapishaven.counters import Counters
from lapishaven.net.loop import Loop
from lapishaven.server.assembly import INTERPRETER, UWSGI, Backends
from lapishaven.server.broker_host import BrokerHost
from lapishaven.server.catalog_reporter import CatalogReporter
from lapishaven.server.graceful_shutdown import GracefulShutdown
from lapishaven.server.running_config import RunningConfig

# Fields of ``NodeConfig``. A changed value is ignored until a restart, and logged.
RESTART_ONLY_FIELDS = ("name", "listen", "descriptors", "memory_mb")


class ConfigReload:
    """Reads the configuration files again and applies them to each component."""

    def __init__(
        self,
        read_files: Callable[[], ConfigFiles] | None,
        running: RunningConfig,
        loop: Loop,
        core: BrokerHost,
        backends: Backends,
        reporter: CatalogReporter,
        shutdown: GracefulShutdown,
        fleet: FleetMember | None,
        counters: Counters,
        log: Callable[[str], None],
    ) -> None:
        """``read_files`` raises ``ConfigError``; it is ``None`` if the server was started without files."""
        self._read_files = read_files
        self._running = running
        self._loop = loop
        self._core = core
        self._backends = backends
        self._reporter = reporter
        self._shutdown = shutdown
        self._fleet = fleet
        self._counters = counters
        self._log = log

    def reload(self) -> None:
        """Read the files again and apply them; if one is invalid, log why and change nothing."""
        try:
            files = self._read()
            settings = keep_class_numbers(self._running.config.settings, files.config.settings)
        except ConfigError as error:
            self._counters.add("reloads", "failed")
            self._log(f"configuration reload failed, the previous configuration stays in force: {error}")
            return
        self._counters.add("reloads", "done")
        before = self._running.config
        self._apply_settings(settings, files.config)
        self._update_backend_addresses(files)
        self._reporter.move(files.config.catalog)
        self._replace_contracts(files)
        self._replace_pools(files)
        self._running.config = replace(
            before,
            interpreter=files.config.interpreter,
            catalog=files.config.catalog,
            stop_timeout_s=files.config.stop_timeout_s,
            settings=settings,
        )
        self._shutdown.shorten(self._running.seconds_to_kill())
        self._log_completed(before, files.config)

    def _read(self) -> ConfigFiles:
        """Read and validate the files. Raises ``ConfigError``."""
        if self._read_files is None:
            raise ConfigError("the server was started without configuration files")
        files = self._read_files()
        if any(contract.route not in self._backends.by_name for contract in files.contracts or []):
            raise ConfigError(
                "contracts name backends that were not configured at startup, which needs a restart: "
                f"{sorted({contract.route for contract in files.contracts or []} - set(self._backends.by_name))}"
            )
        return files

    def _apply_settings(self, settings: Settings, config: NodeConfig) -> None:
        """Apply settings whose classes keep their indexes; callers may use only the classes of the new file."""
        if settings == self._running.config.settings:
            return
        if self._core.broker is not None:
            self._core.broker.apply_settings(settings)
        configured_classes = {spec.name for spec in config.settings.classes}
        self._running.classes = {
            spec.name: index for index, spec in enumerate(settings.classes) if spec.name in configured_classes
        }
        self._log(f"configuration reload: request classes are now {', '.join(self._running.classes)}")

    def _update_backend_addresses(self, files: ConfigFiles) -> None:
        """Give the backends their new addresses."""
        addresses = {INTERPRETER: files.config.interpreter}
        if files.backend is not None:
            addresses[UWSGI] = files.backend.address
        if files.spread is not None and self._backends.load_balanced is not None:
            self._backends.load_balanced.set_addresses(files.spread.addresses)
        for name, driver in self._backends.by_name.items():
            if name in addresses:
                driver.change_address(addresses[name])

    def _replace_contracts(self, files: ConfigFiles) -> None:
        if files.contracts is None or self._running.contracts is None:
            return
        self._running.contracts = files.contracts
        if self._core.broker is not None:
            self._core.broker.replace_contracts(Contracts(files.contracts, self._fleet))

    def _replace_pools(self, files: ConfigFiles) -> None:
        if files.pools is None or self._running.pools is None:
            return
        self._running.pools = files.pools
        if self._core.pools is not None:
            self._core.pools.apply_settings(self._loop.now, files.pools)

    def _log_completed(self, before: NodeConfig, after: NodeConfig) -> None:
        ignored = [name for name in RESTART_ONLY_FIELDS if getattr(after, name) != getattr(before, name)]
        self._log(
            "configuration reload: done" + (f"; ignored until a restart: {', '.join(ignored)}" if ignored else "")
        )
