"""Faults of the service benchmark."""

from __future__ import annotations

import asyncio
import json
import random
import typing

from bench import http_client
from bench import systems

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

SLOW_PERIOD_SECONDS = 0.2
SLOW_FACTOR = 10.0
# Longer than the rest of a trial, so that the owner does not return.
LOSS_SECONDS = 60.0
COLD_SERVERS = 2


class Trial(typing.NamedTuple):
    """One run of a case; `owner` is the server that owns a probed key."""

    system: systems.System
    seconds: float
    owner: str
    client: http_client.Client
    generator: random.Random

    async def control(self, server: str, **changes: object) -> None:
        """Change the behaviour of a stand-in server.

        Raises
        ------
        RuntimeError
            If the server did not confirm the change.
        """
        result = await self.client.request(
            self.system.address(server),
            "POST",
            "/control",
            body=json.dumps(changes).encode(),
        )
        if isinstance(result, http_client.Failure) or result.status != 200:
            raise RuntimeError(f"{server} did not confirm {changes}: {result}")


if typing.TYPE_CHECKING:
    Fault = Callable[[Trial], Coroutine[None, None, None]]


async def no_fault(trial: Trial) -> None:
    """Inject no fault."""


def slow(count: int) -> Fault:
    """Return a fault that slows down different servers every 200 ms."""

    async def run(trial: Trial) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        servers = trial.system.lookup_servers()
        for period in range(int(trial.seconds / SLOW_PERIOD_SECONDS)):
            changes = {"factor": SLOW_FACTOR, "seconds": SLOW_PERIOD_SECONDS}
            chosen = trial.generator.sample(servers, count)
            await asyncio.gather(
                *(trial.control(server, slow=changes) for server in chosen)
            )
            next_start = started + (period + 1) * SLOW_PERIOD_SECONDS
            await asyncio.sleep(max(0.0, next_start - loop.time()))

    return run


async def cold(trial: Trial) -> None:
    """Make two servers cold."""
    servers = trial.system.lookup_servers()
    chosen = trial.generator.sample(servers, COLD_SERVERS)
    await asyncio.gather(
        *(trial.control(server, cold=True) for server in chosen)
    )


async def domain_leaves(trial: Trial) -> None:
    """Take a failure domain out, and in again after a third of the load."""
    hosts = trial.system.deployment.settings_by_host
    domains = next(iter(hosts.values())).failure_domains
    domain = trial.generator.choice(domains)
    await asyncio.sleep(trial.seconds / 5)
    await asyncio.to_thread(trial.system.set_domain, domain, "out")
    await asyncio.sleep(trial.seconds / 3)
    await asyncio.to_thread(trial.system.set_domain, domain, "in")


def kill_hosts(count: int) -> Fault:
    """Return a fault that kills entry hosts by SIGKILL."""

    async def run(trial: Trial) -> None:
        chosen = trial.generator.sample(trial.system.deployment.hosts, count)
        await asyncio.sleep(trial.seconds / 3)
        for host in chosen:
            trial.system.running.kill(host)

    return run


def lose_owner(control_field: str) -> Fault:
    """Return a fault that makes an owner fail, by a field of /control."""

    async def run(trial: Trial) -> None:
        await asyncio.sleep(trial.seconds / 3)
        await trial.control(trial.owner, **{control_field: LOSS_SECONDS})

    return run
