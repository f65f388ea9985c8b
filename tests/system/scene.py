"""A small deployment of real processes, and what tests do to it."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import sys
import time
import typing

from agatestile.admin import client as admin_client
from agatestile.results import outcomes
from bench import deployments
from bench import http_client
from bench import processes
from bench import relocation
from bench import verdict
from tests.system import probes as probing

if typing.TYPE_CHECKING:
    from bench import load

SOURCE = pathlib.Path(__file__).parent / "deployment"
COMMAND = [str(pathlib.Path(sys.executable).parent / "agatestile")]
START_TIMEOUT = 20.0
MOST_KEYS = 60


class Scene(deployments.Deployment):
    """Processes of the small deployment; one process for each server.

    Parameters
    ----------
    running : processes.Processes
        Owner of the processes.
    """

    def __init__(self, running: processes.Processes) -> None:
        directory = running.directory / "deployment"
        relocation.relocate(SOURCE, directory)
        # An absolute path replaces the directory of the deployments.
        super().__init__(str(directory), COMMAND, running)
        self.running = running
        self.ports_by_server = {
            server.name: server.port for server in self.servers
        }
        self.lost: set[str] = set()
        self._seed = 0
        self._commands = 0
        self.keys: list[probing.Key] = []

    def start(self) -> None:
        """Start everything and wait until all probed keys are answered."""
        self.start_platform()
        for host in self.hosts:
            self.start_daemon(host)
        self.wait_for_admin()
        self.apply_table()
        self.wait_ready()
        self._choose_keys()
        self.wait_served()

    def start_platform(self) -> None:
        """Start the stand-ins and wait until they listen."""
        platform = next(iter(self.settings_by_host.values())).platform
        hosts = str(self.directory / "hosts.yaml")
        members = ["--port", str(platform.membership.port), "--hosts", hosts]
        commands = {
            "log": processes.python(
                "standins.log", "--port", str(platform.log.port)
            ),
            "membership": processes.python("standins.membership", *members),
        }
        for line in (self.directory / "servers.yaml").read_text().splitlines():
            name = line.partition("name: ")[2].partition(",")[0]
            path = self.directory / f"server-{name}.yaml"
            path.write_text(line + "\n")
            commands[name] = processes.python(
                "standins.backend", "--servers", str(path)
            )
        started = [
            self.running.start(name, command)
            for name, command in commands.items()
        ]
        self.running.wait_until(
            "stand-ins that listen",
            lambda: all("\n" in process.text() for process in started),
            START_TIMEOUT,
        )

    def probe(self, seconds: float) -> probing.Probes:
        """Return a block that sends probes for some time."""
        self._seed += 1
        return probing.Probes(
            self.entry_hosts(), self.keys, seconds, self._seed
        )

    def _choose_keys(self) -> None:
        """Find one key of each server.

        A server that counts as cold takes 2 requests a second, so probes
        of several keys of it would hide each other's answers.
        """
        self.wait_until(
            "keys that have owners",
            lambda: all(
                self.explain(service, "p0")["owner"]
                for service in self.repeatable_by_service
            ),
            START_TIMEOUT,
        )
        chosen: dict[str, probing.Key] = {}
        for number in range(MOST_KEYS):
            for service in self.repeatable_by_service:
                key = probing.Key(service, f"p{number}")
                chosen.setdefault(self.explain(*key)["owner"], key)
        assert set(chosen) == set(self.ports_by_server), chosen
        self.keys = [chosen[name] for name in sorted(chosen)]

    def wait_served(self) -> None:
        """Wait until all probed keys are answered."""
        self.wait_until(
            "keys that are served",
            lambda: self._unserved() == [],
            START_TIMEOUT,
        )

    def _unserved(self) -> list[str]:
        with self.probe(0.3) as probes:
            pass
        return [item.owner for item in probes.records if not item.answered]

    def wait_warm(self) -> None:
        """Wait until gates have raised the rates of all probed servers."""
        self.wait_until(
            "servers that are warm",
            lambda: not self._unserved() and not self.cold_servers(),
            START_TIMEOUT,
        )

    def cold_servers(self) -> list[str]:
        """Return servers that their present gate treats as cold."""
        cold = []
        for host in self.live():
            status = self.status(host) or {}
            gated = status.get("gated_ranges", {})
            for server, limits in status.get("limits", {}).items():
                if limits["cold"] and gated.get(server):
                    cold.append(server)
        return cold

    def live(self) -> list[str]:
        """Return the hosts that no test has ended or stopped."""
        return [host for host in self.hosts if host not in self.lost]

    def all_ready(self) -> bool:
        """Tell whether all live hosts take requests of the balancer."""
        return all(
            processes.is_ready(host.admin, "/ready")
            for host in self.entry_hosts()
            if host.name in self.live()
        )

    def kill(self, *names: str) -> float:
        """End processes by SIGKILL; return the time of the first one."""
        killed = time.monotonic()
        self.lost.update(names)
        for name in names:
            self.running.kill(name)
        return killed

    def stop(self, name: str) -> float:
        """Send SIGSTOP to a process; return the time."""
        stopped = time.monotonic()
        self.lost.add(name)
        self.running.signal(name, signal.SIGSTOP)
        return stopped

    def terminate(self, host: str) -> None:
        """Send SIGTERM to a daemon."""
        self.lost.add(host)
        self.running.expect_end(host)
        self.running.signal(host, signal.SIGTERM)

    def exit_status(self, host: str, timeout: float) -> int:
        """Return the exit status of a daemon that ends by itself."""
        return self.running.by_name[host].handle.wait(timeout)

    def resume(self, name: str) -> None:
        """Send SIGCONT to a process."""
        self.running.signal(name, signal.SIGCONT)
        self.lost.discard(name)

    def restart(self, host: str) -> None:
        """Start a daemon in place of one that was killed."""
        self.start_daemon(host)
        self.lost.discard(host)

    def console(self, host: str, *arguments: str) -> str:
        """Run a console command against a daemon; return its output."""
        self._commands += 1
        admin = str(self.settings_by_host[host].listen.admin)
        return self.running.run(
            f"command-{self._commands}",
            [*COMMAND, *arguments, "--admin", admin],
            START_TIMEOUT,
        )

    def admin(self, host: str = "") -> admin_client.AdminClient:
        """Return a client of a daemon, of any live one without a name."""
        listen = self.settings_by_host[host or self.live()[0]].listen
        return admin_client.AdminClient(str(listen.admin), "test")

    def explain(self, service: str, key: str) -> dict[str, typing.Any]:
        """Return owner, gate and leader of a key."""
        return answered(self.admin().explain(service, key))

    def owners(self) -> dict[probing.Key, str]:
        """Return the owner of each probed key."""
        return {key: self.explain(*key)["owner"] for key in self.keys}

    def key_of(self, server: str) -> probing.Key:
        """Return the probed key that a server owns at present."""
        owners = self.owners()
        return next(key for key, owner in owners.items() if owner == server)

    def leader(self, domain: str) -> str:
        """Return the host that leads a domain, by any live host's view."""
        status = self.status(self.live()[0])
        assert status is not None
        return str(status["leaders"][domain])

    def gate(self, server: str) -> str:
        """Return the host that a server accepts as its gate."""
        return str(self.state(server)["gate"]).partition("#")[0]

    def state(self, server: str) -> dict[str, typing.Any]:
        """Return what a server knows and counted."""
        port = self.ports_by_server[server]
        answer = processes.http_get(f"127.0.0.1:{port}", "/executions")
        assert answer is not None, server
        found: dict[str, typing.Any] = json.loads(answer.body)
        return found

    def control(self, name: str, **wishes: object) -> None:
        """Change the behaviour of the log, the list or a server."""
        body = json.dumps(wishes).encode()
        answer = self.ask(name, "POST", "/control", body=body)
        assert isinstance(answer, http_client.Response), answer
        assert answer.status == 200, answer

    def ask(
        self,
        name: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> http_client.Response | http_client.Failure:
        """Send a request to the log, the list or a server."""
        platform = next(iter(self.settings_by_host.values())).platform
        ports_by_name = self.ports_by_server | {
            "log": platform.log.port,
            "membership": platform.membership.port,
        }
        address = f"127.0.0.1:{ports_by_name[name]}"
        client = http_client.Client()
        return asyncio.run(
            client.request(address, method, path, headers, body)
        )

    def executed(self, server: str) -> int:
        """Return how many requests a server began to run."""
        return int(self.state(server)["counts"].get("executed", 0))

    def servers_of(self, domain: str) -> list[str]:
        """Return the servers of a failure domain."""
        return [item.name for item in self.servers if item.domain == domain]

    def wait_until(
        self, what: str, check: typing.Callable[[], bool], timeout: float
    ) -> float:
        """Wait for a check; return how long it took, seconds."""
        started = time.monotonic()
        self.running.wait_until(what, check, timeout)
        return time.monotonic() - started

    def check_invariants(self, records: list[load.Record]) -> None:
        """Assert what must hold in every trial."""
        reports = [
            self._report(port)
            for name, port in self.ports_by_server.items()
            if name not in self.lost
        ]
        checks = verdict.check(
            records,
            reports,
            {host: self.violations(host) for host in self.live()},
            self.repeatable_by_service,
        )
        broken = {item.name: item.broken for item in checks if item.broken}
        assert not broken, broken
        assert not self.running.ended()


def answered(answer: admin_client.Answer) -> dict[str, typing.Any]:
    """Return an answer that is no refusal."""
    assert not isinstance(answer, outcomes.Refusal), answer
    return answer
