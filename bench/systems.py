"""Starts agatestile or a plain forwarder with the Mazowsze servers."""

from __future__ import annotations

import time
import typing

import yaml

from bench import balancer
from bench import deployments
from bench import forwarder
from bench import processes

NAME = "mazowsze"
SERVICE = "lookups"
AGATESTILE = "agatestile"
FORWARDER = "plain forwarder"
READY_TIMEOUT_SECONDS = 20.0
# The stand-ins are warm 3 s after their first request and then sustain any
# rate; before that, one request a second is well within their limit.
WARM_ROUNDS = 5


class System(typing.NamedTuple):
    """A running system.

    Attributes
    ----------
    name : str
        AGATESTILE or FORWARDER.
    deployment : deployments.Deployment
        Servers and hosts, and access to the console.
    running : processes.Processes
        Processes of the system; those of entry hosts have their names.
    entry_hosts : list of balancer.EntryHost
        Addresses that requests are sent to.
    command : list of str
        Command that runs agatestile.
    """

    name: str
    deployment: deployments.Deployment
    running: processes.Processes
    entry_hosts: list[balancer.EntryHost]
    command: list[str]

    def address(self, server: str) -> str:
        """Return the address of a stand-in server."""
        for settings in self.deployment.servers:
            if settings.name == server:
                return f"127.0.0.1:{settings.port}"
        raise KeyError(server)

    def lookup_servers(self) -> list[str]:
        """Return the names of the servers of lookups."""
        return [
            settings.name
            for settings in self.deployment.servers
            if settings.service == SERVICE
        ]

    def set_domain(self, domain: str, state: str) -> None:
        """Take a failure domain out or in through the console."""
        hosts = self.deployment.settings_by_host.values()
        admin = str(next(iter(hosts)).listen.admin)
        arguments = ["domain", state, domain, "--wait", "7"]
        self.running.run(
            f"domain-{state}",
            [*self.command, *arguments, "--admin", admin],
            READY_TIMEOUT_SECONDS,
        )

    def sum_counters(self) -> dict[str, int]:
        """Return the sums of the counters of all servers.

        Servers that fell over near the end return no counters until they
        are back, so this waits for them.
        """
        addresses = [
            f"127.0.0.1:{item.port}" for item in self.deployment.servers
        ]
        self.running.wait_until(
            "servers to return their state",
            lambda: all(
                processes.is_ready(address, "/state") for address in addresses
            ),
            READY_TIMEOUT_SECONDS,
        )
        totals: dict[str, int] = {}
        for server in self.deployment.server_reports():
            for name, count in server.counts.items():
                totals[name] = totals.get(name, 0) + count
        return totals


def start(
    name: str,
    command: list[str],
    running: processes.Processes,
    service_ms: float | None,
) -> System:
    """Start a system on free ports and wait until it is ready.

    Parameters
    ----------
    name : str
        AGATESTILE or FORWARDER.
    command : list of str
        Command that runs agatestile.
    running : processes.Processes
        Processes of the trial.
    service_ms : float or None
        Mean execution time of a lookup that replaces the committed one,
        milliseconds.

    Raises
    ------
    NotReadyError
        If the system is not ready in time.
    """
    deployment = deployments.Deployment(NAME, command, running, True)
    _change_servers(deployment, name, service_ms)
    deployment.start_platform()
    if name == AGATESTILE:
        for host in deployment.hosts:
            deployment.start_daemon(host)
        deployment.wait_for_admin()
        deployment.apply_table()
        deployment.wait_ready()
        hosts = deployment.entry_hosts()
    else:
        hosts = _start_forwarders(deployment, running)
    return System(name, deployment, running, hosts, command)


def _change_servers(
    deployment: deployments.Deployment, name: str, service_ms: float | None
) -> None:
    new_settings = []
    for settings in deployment.servers:
        if name == FORWARDER:
            settings = settings._replace(fenced=False)
        if service_ms is not None and settings.service == SERVICE:
            settings = settings._replace(service_ms=service_ms)
        new_settings.append(settings)
    deployment.servers = new_settings
    text = yaml.safe_dump([settings._asdict() for settings in new_settings])
    (deployment.directory / "servers.yaml").write_text(text, "utf-8")


def _start_forwarders(
    deployment: deployments.Deployment, running: processes.Processes
) -> list[balancer.EntryHost]:
    """Start a forwarder instead of the daemon of each entry host."""
    hosts = [
        host._replace(admin=host.callers) for host in deployment.entry_hosts()
    ]
    for host in hosts:
        arguments = ["--port", host.callers.rpartition(":")[2]]
        arguments += ["--servers", str(deployment.directory / "servers.yaml")]
        running.start(
            host.name, processes.python(forwarder.__name__, *arguments)
        )
    running.wait_until(
        "forwarders to be ready",
        lambda: all(
            processes.is_ready(host.callers, "/ready") for host in hosts
        ),
        READY_TIMEOUT_SECONDS,
    )
    for _ in range(WARM_ROUNDS):
        for settings in deployment.servers:
            address = f"127.0.0.1:{settings.port}"
            processes.http_get(address, f"/{settings.service}/warm-up")
        time.sleep(1.0)
    return hosts
