"""Runs a small deployment of real processes and injects faults into it."""

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
from tests.system import probes

if typing.TYPE_CHECKING:
    from bench import load

DEPLOYMENT_SOURCE = pathlib.Path(__file__).parent / "deployment"
COMMAND = [str(pathlib.Path(sys.executable).parent / "agatestile")]
START_TIMEOUT_SECONDS = 20.0
MAX_CANDIDATE_KEYS = 60  # of each service


class Cluster(deployments.Deployment):
    """Runs the small deployment, with one process for each server.

    Parameters
    ----------
    running : processes.Processes
        Starts and ends the processes.

    Attributes
    ----------
    unavailable : set of str
        Processes that the test has killed, paused or terminated.
    keys : list of probes.Key
        The probed keys; at the start, each server owns one.
    """

    def __init__(self, running: processes.Processes) -> None:
        directory = running.directory / "deployment"
        relocation.relocate(DEPLOYMENT_SOURCE, directory)
        # An absolute path replaces the parent directory `deployments/`.
        super().__init__(str(directory), COMMAND, running)
        self.running = running
        self.ports_by_server = {
            server.name: server.port for server in self.servers
        }
        self.unavailable: set[str] = set()
        self._seed = 0
        self._commands = 0
        self.keys: list[probes.Key] = []

    def start(self) -> None:
        """Start all processes and wait until all probed keys are answered."""
        self.start_platform()
        for host in self.hosts:
            self.start_daemon(host)
        self.wait_for_admin()
        self.apply_table()
        self.wait_ready()
        self._choose_keys()
        self.wait_served()

    def start_platform(self) -> None:
        """Start the stand-ins and wait until they accept connections."""
        platform = next(iter(self.settings_by_host.values())).platform
        hosts = str(self.directory / "hosts.yaml")
        membership_arguments = [
            "--port",
            str(platform.membership.port),
            "--hosts",
            hosts,
        ]
        commands = {
            "log": processes.python(
                "standins.log", "--port", str(platform.log.port)
            ),
            "membership": processes.python(
                "standins.membership", *membership_arguments
            ),
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
            START_TIMEOUT_SECONDS,
        )

    def probe(self, seconds: float) -> probes.Probes:
        """Return a context that sends probes for a number of seconds."""
        self._seed += 1
        return probes.Probes(
            self.entry_hosts(), self.keys, seconds, self._seed
        )

    def _choose_keys(self) -> None:
        """Choose one key of each server.

        A server that counts as cold accepts only 2 requests a second, so
        probes of several of its keys would keep each other unanswered.
        """
        self.wait_until(
            "keys that have owners",
            lambda: all(
                self.explain(service, "p0")["owner"]
                for service in self.repeatable_by_service
            ),
            START_TIMEOUT_SECONDS,
        )
        chosen: dict[str, probes.Key] = {}
        for number in range(MAX_CANDIDATE_KEYS):
            for service in self.repeatable_by_service:
                key = probes.Key(service, f"p{number}")
                chosen.setdefault(self.explain(*key)["owner"], key)
        assert set(chosen) == set(self.ports_by_server), chosen
        self.keys = [chosen[name] for name in sorted(chosen)]

    def wait_served(self) -> None:
        """Wait until all probed keys are answered."""
        self.wait_until(
            "keys that are served",
            lambda: self._unserved() == [],
            START_TIMEOUT_SECONDS,
        )

    def _unserved(self) -> list[str]:
        with self.probe(0.3) as sent:
            pass
        return [item.owner for item in sent.records if not item.answered]

    def wait_warm(self) -> None:
        """Wait until no gate limits a probed server as cold."""
        self.wait_until(
            "servers that are warm",
            lambda: not self._unserved() and not self.cold_servers(),
            START_TIMEOUT_SECONDS,
        )

    def cold_servers(self) -> list[str]:
        """Return servers that their current gate treats as cold."""
        cold_servers = []
        for host in self.live_hosts():
            status = self.status(host) or {}
            gated = status.get("gated_ranges", {})
            for server, limits in status.get("limits", {}).items():
                if limits["cold"] and gated.get(server):
                    cold_servers.append(server)
        return cold_servers

    def live_hosts(self) -> list[str]:
        """Return the hosts that the test has not ended or paused."""
        return [host for host in self.hosts if host not in self.unavailable]

    def all_ready(self) -> bool:
        """Return whether all live hosts are ready for the balancer."""
        return all(
            processes.is_ready(host.admin, "/ready")
            for host in self.entry_hosts()
            if host.name in self.live_hosts()
        )

    def kill(self, *names: str) -> float:
        """Send SIGKILL to processes.

        Returns `time.monotonic()` before the first signal.
        """
        killed = time.monotonic()
        self.unavailable.update(names)
        for name in names:
            self.running.kill(name)
        return killed

    def pause(self, name: str) -> float:
        """Send SIGSTOP to a process; return `time.monotonic()` before it."""
        stopped = time.monotonic()
        self.unavailable.add(name)
        self.running.signal(name, signal.SIGSTOP)
        return stopped

    def terminate(self, host: str) -> None:
        """Send SIGTERM to a daemon."""
        self.unavailable.add(host)
        self.running.expect_end(host)
        self.running.signal(host, signal.SIGTERM)

    def wait_for_exit(self, host: str, timeout: float) -> int:
        """Wait until a daemon ends by itself; return its exit status."""
        return self.running.by_name[host].handle.wait(timeout)

    def resume(self, name: str) -> None:
        """Send SIGCONT to a process."""
        self.running.signal(name, signal.SIGCONT)
        self.unavailable.discard(name)

    def restart(self, host: str) -> None:
        """Start a daemon in place of one that was killed."""
        self.start_daemon(host)
        self.unavailable.discard(host)

    def run_command(self, host: str, *arguments: str) -> str:
        """Run a console command against a daemon; return its output."""
        self._commands += 1
        admin = str(self.settings_by_host[host].listen.admin)
        return self.running.run(
            f"command-{self._commands}",
            [*COMMAND, *arguments, "--admin", admin],
            START_TIMEOUT_SECONDS,
        )

    def admin(self, host: str = "") -> admin_client.AdminClient:
        """Return an admin client of a host, by default the first live one."""
        listen = self.settings_by_host[host or self.live_hosts()[0]].listen
        return admin_client.AdminClient(str(listen.admin), "test")

    def explain(self, service: str, key: str) -> dict[str, typing.Any]:
        """Return the routing of a key: its owner, gate and leader."""
        return expect_success(self.admin().explain(service, key))

    def owners(self) -> dict[probes.Key, str]:
        """Return the owner of each probed key."""
        return {key: self.explain(*key)["owner"] for key in self.keys}

    def key_owned_by(self, server: str) -> probes.Key:
        """Return the probed key that a server currently owns."""
        owners = self.owners()
        return next(key for key, owner in owners.items() if owner == server)

    def leader(self, domain: str) -> str:
        """Return a domain's leader as the first live host reports it."""
        status = self.status(self.live_hosts()[0])
        assert status is not None
        return str(status["leaders"][domain])

    def gate_host(self, server: str) -> str:
        """Return the host that a server accepts as its gate."""
        return str(self.server_state(server)["gate"]).partition("#")[0]

    def server_state(self, server: str) -> dict[str, typing.Any]:
        """Return the fence, gate and counters that a server reports."""
        port = self.ports_by_server[server]
        answer = processes.http_get(f"127.0.0.1:{port}", "/executions")
        assert answer is not None, server
        state: dict[str, typing.Any] = json.loads(answer.body)
        return state

    def control(self, name: str, **settings: object) -> None:
        """Change the behaviour of the log, the membership list or a server."""
        body = json.dumps(settings).encode()
        answer = self.request(name, "POST", "/control", body=body)
        assert isinstance(answer, http_client.Response), answer
        assert answer.status == 200, answer

    def request(
        self,
        name: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> http_client.Response | http_client.Failure:
        """Send a request to the log, the membership list or a server."""
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

    def executed_count(self, server: str) -> int:
        """Return how many requests a server has started to run."""
        return int(self.server_state(server)["counts"].get("executed", 0))

    def servers_in(self, domain: str) -> list[str]:
        """Return the servers of a failure domain."""
        return [item.name for item in self.servers if item.domain == domain]

    def wait_until(
        self, what: str, check: typing.Callable[[], bool], timeout: float
    ) -> float:
        """Wait until a check succeeds; return how long it took, seconds."""
        started = time.monotonic()
        self.running.wait_until(what, check, timeout)
        return time.monotonic() - started

    def assert_invariants(self, records: list[load.Record]) -> None:
        """Assert the invariants that hold in every test.

        Parameters
        ----------
        records : list of load.Record
            Outcomes of the probes.
        """
        reports = [
            self._report(port)
            for name, port in self.ports_by_server.items()
            if name not in self.unavailable
        ]
        checks = verdict.check(
            records,
            reports,
            {host: self.violations(host) for host in self.live_hosts()},
            self.repeatable_by_service,
        )
        broken = {item.name: item.broken for item in checks if item.broken}
        assert not broken, broken
        assert not self.running.ended()


def expect_success(answer: admin_client.Answer) -> dict[str, typing.Any]:
    """Return an answer; fail if it is a refusal."""
    assert not isinstance(answer, outcomes.Refusal), answer
    return answer
