"""Starts agatestile or the plain forwarder with the Mazowsze servers."""

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
READY_TIMEOUT = 20.0
# The stand-ins are warm 3 s after their first request and then bear any
# rate; before that, one request a second is well within what they bear.
WARM_ROUNDS = 5


class System(typing.NamedTuple):
    """A running system.

    Attributes
    ----------
    name : str
        AGATESTILE or FORWARDER.
    deployment : deployments.Deployment
        Servers, hosts and console.
    running : processes.Processes
        Its processes; those of entry hosts have the hosts' names.
    entry_hosts : list of balancer.EntryHost
        Where requests go.
    command : list of str
        How to call agatestile.
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
            READY_TIMEOUT,
        )

    def totals(self) -> dict[str, int]:
        """Return the sums of the servers' counters.

        Servers that fell over near the end give no report until they are
        back, so this waits for them.
        """
        addresses = [
            f"127.0.0.1:{item.port}" for item in self.deployment.servers
        ]
        self.running.wait_until(
            "servers that report",
            lambda: all(
                processes.is_ready(address, "/state") for address in addresses
            ),
            READY_TIMEOUT,
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
        How to call agatestile.
    running : processes.Processes
        Owner of the processes.
    service_ms : float or None
        Mean time of a lookup in place of the committed one, milliseconds.

    Raises
    ------
    NotReadyError
        If it is not ready in time.
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
    changed = []
    for settings in deployment.servers:
        if name == FORWARDER:
            settings = settings._replace(fenced=False)
        if service_ms is not None and settings.service == SERVICE:
            settings = settings._replace(service_ms=service_ms)
        changed.append(settings)
    deployment.servers = changed
    text = yaml.safe_dump([settings._asdict() for settings in changed])
    (deployment.directory / "servers.yaml").write_text(text, "utf-8")


def _start_forwarders(
    deployment: deployments.Deployment, running: processes.Processes
) -> list[balancer.EntryHost]:
    """Start one forwarder in place of each entry host's daemon."""
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
        "forwarders that are ready",
        lambda: all(
            processes.is_ready(host.callers, "/ready") for host in hosts
        ),
        READY_TIMEOUT,
    )
    for _ in range(WARM_ROUNDS):
        for settings in deployment.servers:
            address = f"127.0.0.1:{settings.port}"
            processes.http_get(address, f"/{settings.service}/warm-up")
        time.sleep(1.0)
    return hosts
