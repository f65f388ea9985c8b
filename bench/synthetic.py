"""Deployments of any size for measurements of the control plane."""

from __future__ import annotations

import sys
import typing

import yaml

from agatestile.state import records
from agatestile.state import table
from bench import processes

LOG_OFFSET, MEMBERSHIP_OFFSET, SERVER_OFFSET, HOST_OFFSET = 0, 1, 10, 1000
PORTS_PER_HOST = 4
SERVERS_PER_PROCESS = 25


class Size(typing.NamedTuple):
    """Size of a deployment.

    Attributes
    ----------
    hosts, servers, domains : int
        Total numbers; hosts and servers are assigned to domains in turn.
    """

    hosts: int
    servers: int
    domains: int


class Deployment:
    """Writes the files of a deployment and starts its processes.

    Parameters
    ----------
    size : Size
        Size of the deployment.
    base_port : int
        First port to use; about 1,000 and 4 for each host are needed.
    command : list of str
        Command that runs agatestile.
    running : processes.Processes
        Processes of the trial.
    """

    def __init__(
        self,
        size: Size,
        base_port: int,
        command: list[str],
        running: processes.Processes,
    ) -> None:
        self.size = size
        self._base = base_port
        self._command = command
        self._running = running
        self._path = running.directory
        self.domains = [f"domain-{index}" for index in range(size.domains)]
        self.hosts = [f"entry-{index}" for index in range(size.hosts)]

    def admin(self, index: int = 0) -> str:
        """Return the admin address of a host."""
        return self._address(HOST_OFFSET + index * PORTS_PER_HOST + 3)

    def start(self) -> None:
        """Start the stand-ins of the platform, the servers and all daemons."""
        self._write_files()
        python = sys.executable
        self._running.start(
            "log",
            [python, "-m", "standins.log", "--port", self._port(LOG_OFFSET)],
        )
        self._running.start(
            "membership",
            [
                python,
                "-m",
                "standins.membership",
                "--port",
                self._port(MEMBERSHIP_OFFSET),
                "--hosts",
                str(self._path / "hosts.yaml"),
            ],
        )
        for first in range(0, self.size.servers, SERVERS_PER_PROCESS):
            self._running.start(
                f"servers-{first}",
                [
                    python,
                    "-m",
                    "standins.backend",
                    "--servers",
                    str(self._path / f"servers-{first}.yaml"),
                ],
            )
        for host in self.hosts:
            self._running.start(
                host,
                [
                    *self._command,
                    "serve",
                    "--config",
                    str(self._path / f"{host}.yaml"),
                ],
            )

    def apply_table(self, name: str, timeout: float = 60.0) -> None:
        """Apply the services table on top of the current version."""
        self._running.run(
            name,
            [
                *self._command,
                "table",
                "apply",
                str(self._path / "table.csv"),
                "--base",
                "current",
                "--wait",
                str(timeout / 2),
                "--admin",
                self.admin(),
            ],
            timeout,
        )

    def _port(self, offset: int) -> str:
        return str(self._base + offset)

    def _address(self, offset: int) -> str:
        return f"127.0.0.1:{self._base + offset}"

    def _write_files(self) -> None:
        for index, host in enumerate(self.hosts):
            self._write(f"{host}.yaml", self._settings(index, host))
        self._write(
            "hosts.yaml",
            [
                {
                    "host": host,
                    "failure_domain": self._domain(index),
                    "state": "live",
                    **{
                        kind: self._host_address(index, kind)
                        for kind in ("forward", "peers", "admin")
                    },
                }
                for index, host in enumerate(self.hosts)
            ],
        )
        rows = [self._service_row(), *self._server_rows()]
        (self._path / "table.csv").write_text(
            table.to_csv(tuple(rows)), encoding="utf-8"
        )
        for first in range(0, self.size.servers, SERVERS_PER_PROCESS):
            last = min(first + SERVERS_PER_PROCESS, self.size.servers)
            self._write(
                f"servers-{first}.yaml",
                [self._server(index) for index in range(first, last)],
            )

    def _write(self, name: str, content: typing.Any) -> None:
        (self._path / name).write_text(
            yaml.safe_dump(content), encoding="utf-8"
        )

    def _domain(self, index: int) -> str:
        return self.domains[index % self.size.domains]

    def _host_address(self, index: int, kind: str) -> str:
        kind_index = ("callers", "forward", "peers", "admin").index(kind)
        return self._address(HOST_OFFSET + index * PORTS_PER_HOST + kind_index)

    def _settings(self, index: int, host: str) -> dict[str, typing.Any]:
        return {
            "host": host,
            "failure_domain": self._domain(index),
            "failure_domains": self.domains,
            "listen": {
                kind: self._host_address(index, kind)
                for kind in ("callers", "forward", "peers", "admin")
            },
            "platform": {
                "log": f"http://{self._address(LOG_OFFSET)}",
                "membership": f"http://{self._address(MEMBERSHIP_OFFSET)}",
            },
        }

    def _service_row(self) -> records.TableRow:
        return records.TableRow(
            kind="service",
            service="prices",
            timeout_ms=1000,
            repeatable="always",
            queue=40,
            queue_ms=200,
            body_limit=16384,
        )

    def _server_rows(self) -> list[records.TableRow]:
        return [
            records.TableRow(
                kind="server",
                service="prices",
                server=f"prices-{index}",
                domain=self._domain(index),
                address=self._address(SERVER_OFFSET + index),
                slots=2,
                connections=130,
            )
            for index in range(self.size.servers)
        ]

    def _server(self, index: int) -> dict[str, typing.Any]:
        return {
            "name": f"prices-{index}",
            "service": "prices",
            "domain": self._domain(index),
            "port": self._base + SERVER_OFFSET + index,
            "slots": 2,
            "connections": 130,
            "fenced": True,
        }
