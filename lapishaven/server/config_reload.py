"""Reloads the configuration on SIGHUP.

Open requests, runs and connections continue. All files are read and checked against each other and against the running
server before any part takes its new settings. If any file is invalid, or a part cannot take its settings, nothing
changes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from lapishaven.admission import Settings
from lapishaven.admission.settings import check_reload, check_settings
from lapishaven.config import ConfigError, ConfigFiles, NodeConfig, keep_class_numbers
from lapishaven.core.contracts import Contracts
from lapishaven.core.ports import FleetMember
from lapishaven.counters import Counters
from lapishaven.net.loop import Loop
from lapishaven.server.assembly import INTERPRETER, UWSGI, Backends
from lapishaven.server.broker_host import BrokerHost
from lapishaven.server.catalog_reporter import CatalogReporter
from lapishaven.server.graceful_shutdown import GracefulShutdown
from lapishaven.server.running_config import RunningConfig, RunningSnapshot

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
            settings = self._check_settings(files.config.settings)
        except ConfigError as error:
            self._fail(str(error))
            return
        before = self._running.snapshot()
        try:
            self._take(files, settings)
        except Exception as error:
            # A fault of the program: every value was checked. Half of a configuration must not stay in force.
            self._put_back(before, settings)
            self._fail(f"a part could not take its settings, {type(error).__name__}: {error}")
            return
        self._counters.add("reloads", "done")
        self._log_completed(before.config, files.config)

    def _fail(self, reason: str) -> None:
        self._counters.add("reloads", "failed")
        self._log(f"configuration reload failed, the previous configuration stays in force: {reason}")

    def _check_settings(self, new: Settings) -> Settings:
        """The new settings with classes at their indexes, checked against those in force. Raises ``ConfigError``."""
        in_force = self._running.config.settings
        settings = keep_class_numbers(in_force, new)
        try:
            check_settings(settings)
            check_reload(in_force, settings)
        except ValueError as error:
            raise ConfigError(f"settings: {error}") from None
        return settings

    def _take(self, files: ConfigFiles, settings: Settings) -> None:
        """Give each part its new settings."""
        running = self._running
        has_new_settings = settings != running.config.settings
        offered = {request_class.name for request_class in files.config.settings.classes}
        classes = {spec.name: index for index, spec in enumerate(settings.classes) if spec.name in offered}
        if classes != running.classes:
            self._log(f"configuration reload: request classes are now {', '.join(classes)}")
        running.classes = classes
        running.config = replace(
            running.config,
            interpreter=files.config.interpreter,
            catalog=files.config.catalog,
            stop_timeout_s=files.config.stop_timeout_s,
            settings=settings,
        )
        if running.contracts is not None and files.contracts is not None:
            running.contracts = files.contracts
        if running.pools is not None and files.pools is not None:
            running.pools = files.pools
        self._apply_to_core(has_new_settings)
        self._update_backend_addresses(files)
        self._reporter.move(files.config.catalog)
        self._shutdown.shorten(running.seconds_to_kill())

    def _put_back(self, before: RunningSnapshot, refused: Settings) -> None:
        """Restore what was in force. Classes that ``refused`` added keep their index, and are not offered."""
        added = refused.classes[len(before.config.settings.classes) :]
        settings = replace(before.config.settings, classes=before.config.settings.classes + added)
        self._running.restore(replace(before, config=replace(before.config, settings=settings)))
        self._apply_to_core(has_new_settings=True)

    def _apply_to_core(self, has_new_settings: bool) -> None:
        """Give the core the running configuration, once it has been built."""
        running, broker = self._running, self._core.broker
        if broker is None:
            return
        settings = self._core.core_settings(running.config.settings)
        if self._core.pools is not None and running.pools is not None:
            self._core.pools.apply_settings(self._loop.now, running.pools, settings)
        if has_new_settings:
            broker.apply_settings(settings)
        if running.contracts is not None:
            broker.replace_contracts(Contracts(running.contracts, self._fleet))

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

    def _log_completed(self, before: NodeConfig, after: NodeConfig) -> None:
        ignored = [name for name in RESTART_ONLY_FIELDS if getattr(after, name) != getattr(before, name)]
        self._log(
            "configuration reload: done" + (f"; ignored until a restart: {', '.join(ignored)}" if ignored else "")
        )
