"""Starts a committed deployment on this machine."""

from __future__ import annotations

import json
import pathlib
import typing

from agatestile.results import outcomes
from agatestile.settings import loader
from agatestile.settings import schema
from agatestile.state import table
from bench import balancer
from bench import load
from bench import processes
from bench import relocation
from bench import verdict
from standins import backend_settings

ROOT = pathlib.Path(__file__).parents[1] / "deployments"
NAMES = ("mazowsze", "accra-metro")
START_TIMEOUT_SECONDS = 20.0


class Deployment:
    """A deployment, its settings and its processes.

    Parameters
    ----------
    name : str
        Directory below `deployments/`.
    command : list of str
        Command that runs agatestile.
    running : processes.Processes
        Processes of the trial.
    free_ports : bool
        Whether to use free ports instead of the committed ones.

    Attributes
    ----------
    settings_by_host : dict of str to schema.Settings
        Settings of the entry hosts.
    repeatable_by_service : dict of str to str
        Column `repeatable` of the services table.
    """

    def __init__(
        self,
        name: str,
        command: list[str],
        running: processes.Processes,
        free_ports: bool = False,
    ) -> None:
        self.directory = ROOT / name
        if free_ports:
            self.directory = running.directory / name
            relocation.relocate(ROOT / name, self.directory)
        self._command = command
        self._running = running
        self.settings_by_host: dict[str, schema.Settings] = {}
        for path in sorted(self.directory.glob("entry-*.yaml")):
            settings = loader.load(path)
            if isinstance(settings, outcomes.Refusal):
                raise ValueError(f"{path}: {settings}")
            self.settings_by_host[settings.host] = settings
        rows = table.from_csv((self.directory / "table.csv").read_text())
        if isinstance(rows, outcomes.Refusal):
            raise ValueError(f"{self.directory}/table.csv: {rows}")
        self.repeatable_by_service = {
            row.service: row.repeatable for row in rows if not row.server
        }
        self.servers = backend_settings.load(self.directory / "servers.yaml")

    @property
    def hosts(self) -> list[str]:
        """Names of the entry hosts."""
        return list(self.settings_by_host)

    def entry_hosts(self) -> list[balancer.EntryHost]:
        """Return the addresses that a balancer needs."""
        return [
            balancer.EntryHost(
                name, str(settings.listen.callers), str(settings.listen.admin)
            )
            for name, settings in self.settings_by_host.items()
        ]

    def services(self) -> list[load.ServiceLoad]:
        """Return the load that the deployment is designed for."""
        return load.load_services(self.directory / "load.yaml")

    def start_platform(self) -> None:
        """Start the stand-ins and wait until they listen.

        Raises
        ------
        NotReadyError
            If one of the deployment's addresses is in use.
        """
        self._check_addresses()
        platform = next(iter(self.settings_by_host.values())).platform
        commands = {
            "log": ["--port", str(platform.log.port)],
            "membership": [
                "--port",
                str(platform.membership.port),
                "--hosts",
                str(self.directory / "hosts.yaml"),
            ],
            "backend": ["--servers", str(self.directory / "servers.yaml")],
        }
        started = [
            self._running.start(
                name, processes.python(f"standins.{name}", *arguments)
            )
            for name, arguments in commands.items()
        ]
        self._running.wait_until(
            "stand-ins to listen",
            lambda: all("\n" in process.text() for process in started),
            START_TIMEOUT_SECONDS,
        )

    def _check_addresses(self) -> None:
        addresses = [f"127.0.0.1:{server.port}" for server in self.servers]
        for settings in self.settings_by_host.values():
            addresses += [str(address) for address in settings.listen]
        addresses += [f"{url.host}:{url.port}" for url in settings.platform]
        for address in addresses:
            if processes.is_in_use(address):
                raise processes.NotReadyError(
                    f"{address} is in use, possibly by another trial"
                )

    def start_daemon(self, host: str) -> None:
        """Start the daemon of one entry host."""
        path = self.directory / f"{host}.yaml"
        self._running.start(
            host, [*self._command, "serve", "--config", str(path)]
        )

    def apply_table(self) -> str:
        """Apply the services table through the console."""
        admin = next(iter(self.settings_by_host.values())).listen.admin
        return self._running.run(
            "table-apply",
            [
                *self._command,
                "table",
                "apply",
                str(self.directory / "table.csv"),
                "--base",
                "current",
                "--wait",
                "7",
                "--admin",
                str(admin),
            ],
            START_TIMEOUT_SECONDS,
        )

    def wait_for_admin(self) -> None:
        """Wait until the admin address of every daemon responds."""
        self._running.wait_until(
            "daemons to return their status",
            lambda: all(self.status(host) for host in self.hosts),
            START_TIMEOUT_SECONDS,
        )

    def wait_ready(self) -> None:
        """Wait until every daemon is ready for the balancer."""
        addresses = [host.admin for host in self.entry_hosts()]
        self._running.wait_until(
            "daemons to be ready",
            lambda: all(
                processes.is_ready(address, "/ready") for address in addresses
            ),
            START_TIMEOUT_SECONDS,
        )

    def status(self, host: str) -> dict[str, typing.Any] | None:
        """Return the status of a daemon, None if it does not respond."""
        admin = str(self.settings_by_host[host].listen.admin)
        response = processes.http_get(admin, "/status?scope=host")
        if response is None or response.status != 200:
            return None
        content: dict[str, typing.Any] = json.loads(response.body)
        return content

    def violations(self, host: str) -> dict[str, int] | None:
        """Return the violations that a daemon counted, by invariant.

        The result is None if the daemon returned no status.
        """
        status = self.status(host)
        if status is None:
            return None
        content: dict[str, int] | None = status.get("invariant_violations")
        return content

    def server_reports(self) -> list[verdict.ServerReport]:
        """Return the counters of all servers."""
        return [self._report(server.port) for server in self.servers]

    def _report(self, port: int) -> verdict.ServerReport:
        response = processes.http_get(f"127.0.0.1:{port}", "/executions")
        if response is None:
            raise processes.NotReadyError(
                f"no counters from the server on port {port}"
            )
        content = json.loads(response.body)
        return verdict.ServerReport(
            **{name: content[name] for name in verdict.ServerReport._fields}
        )
