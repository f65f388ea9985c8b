"""Small deployment of real processes, with stand-ins for the platform."""

from __future__ import annotations

import contextlib
import http.client
import json
import pathlib
import socket
import subprocess
import sys
import typing

import yaml

from bench import processes

DOMAINS_BY_HOST = {"entry-1": "north", "entry-2": "north", "entry-3": "south"}
DOMAINS_BY_SERVER = {
    "price-01": "north",
    "price-02": "north",
    "price-03": "south",
    "price-04": "south",
}
AGATESTILE = [
    sys.executable,
    "-c",
    "from agatestile.console.application import main; main()",
]
HEADER = "kind,service,server,domain,address,slots,connections,timeout_ms\n"


class Result(typing.NamedTuple):
    """Exit status and output of a command."""

    status: int
    output: str
    errors: str


class Deployment:
    """Three hosts and four backend servers in two failure domains.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for the settings files and the services table.
    running : processes.Processes
        Starts and ends the processes.

    Attributes
    ----------
    table : pathlib.Path
        File with the services table.
    admin_by_host : dict of str to str
        Admin addresses of the daemons.
    """

    def __init__(
        self, directory: pathlib.Path, running: processes.Processes
    ) -> None:
        self.table = directory / "table.csv"
        self.admin_by_host: dict[str, str] = {}
        self._directory = directory
        self._running = running
        self._log = ""

    def start(self) -> None:
        """Start all processes and wait until the daemons respond."""
        ports = iter(_free_ports(4 * len(DOMAINS_BY_HOST) + 6))
        log, membership = next(ports), next(ports)
        self._log = f"127.0.0.1:{log}"
        hosts = []
        for host, domain in DOMAINS_BY_HOST.items():
            listen = {
                name: f"127.0.0.1:{next(ports)}"
                for name in ("callers", "forward", "peers", "admin")
            }
            settings = {
                "host": host,
                "failure_domain": domain,
                "failure_domains": ["north", "south"],
                "listen": listen,
                "platform": {
                    "log": f"http://{self._log}",
                    "membership": f"http://127.0.0.1:{membership}",
                },
            }
            self._write(f"{host}.yaml", settings)
            self.admin_by_host[host] = listen["admin"]
            del listen["callers"]
            hosts.append({"host": host, "failure_domain": domain, **listen})
        servers = [
            {
                "name": name,
                "service": "prices",
                "domain": domain,
                "port": next(ports),
            }
            for name, domain in DOMAINS_BY_SERVER.items()
        ]
        self._write_table(servers)
        self._start_platform(
            log,
            membership,
            self._write("hosts.yaml", hosts),
            self._write("servers.yaml", servers),
        )
        for host in DOMAINS_BY_HOST:
            path = str(self._directory / f"{host}.yaml")
            self._running.start(host, [*AGATESTILE, "serve", "--config", path])
        self.wait_for(
            "daemons that respond",
            lambda: all(
                processes.http_get(address, "/status?scope=host")
                for address in self.admin_by_host.values()
            ),
        )

    def run(self, *arguments: str, host: str = "entry-1") -> Result:
        """Run a command against the daemon of one host."""
        completed = subprocess.run(
            [*AGATESTILE, *arguments, "--admin", self.admin_by_host[host]],
            capture_output=True,
            text=True,
            timeout=60,
        )
        return Result(completed.returncode, completed.stdout, completed.stderr)

    def json(self, *arguments: str, host: str = "entry-1") -> typing.Any:
        """Return the JSON output of a command that must succeed."""
        result = self.run(*arguments, "--output", "json", host=host)
        assert result.status == 0, result
        return json.loads(result.output)

    def explain(self, key: str) -> dict[str, typing.Any]:
        """Return the first host's explanation of a key, read over HTTP."""
        answer = processes.http_get(
            self.admin_by_host["entry-1"], f"/explain?service=prices&key={key}"
        )
        assert answer is not None
        explanation: dict[str, typing.Any] = json.loads(answer.body)
        return explanation

    def control_log(self, **changes: typing.Any) -> None:
        """Change the faults that the stand-in of the log injects."""
        connection = http.client.HTTPConnection(self._log)
        with contextlib.closing(connection):
            connection.request("POST", "/control", json.dumps(changes))
            assert connection.getresponse().status == 200

    def is_ready(self, host: str) -> bool:
        """Return whether the balancer may send requests to a host."""
        return processes.is_ready(self.admin_by_host[host], "/ready")

    def wait_for(
        self, what: str, check: typing.Callable[[], bool], timeout: float = 20
    ) -> None:
        """Wait until a check succeeds."""
        self._running.wait_until(what, check, timeout)

    def kill(self, host: str) -> None:
        """Kill a daemon without a graceful stop."""
        self._running.kill(host)

    def _start_platform(
        self, log: int, membership: int, hosts: str, servers: str
    ) -> None:
        arguments_by_name = {
            "log": ["--port", str(log)],
            "membership": ["--port", str(membership), "--hosts", hosts],
            "backend": ["--servers", servers],
        }
        started = [
            self._running.start(
                name, processes.python(f"standins.{name}", *arguments)
            )
            for name, arguments in arguments_by_name.items()
        ]
        self.wait_for(
            "stand-ins that listen",
            lambda: all("\n" in process.text() for process in started),
        )

    def _write(self, name: str, content: typing.Any) -> str:
        path = self._directory / name
        path.write_text(yaml.safe_dump(content), encoding="utf-8")
        return str(path)

    def _write_table(self, servers: list[dict[str, typing.Any]]) -> None:
        rows = "".join(
            f"server,prices,{server['name']},{server['domain']},"
            f"127.0.0.1:{server['port']},2,130,\n"
            for server in servers
        )
        self.table.write_text(
            f"{HEADER}service,prices,,,,,,800\n{rows}", encoding="utf-8"
        )


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(count)
        ]
        return [listener.getsockname()[1] for listener in sockets]
