"""Faults of the service measurement."""

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

SLOW_SECONDS = 0.2
SLOW_FACTOR = 10.0
# Longer than what is left of a trial, so that the owner does not return.
LOSS_SECONDS = 60.0
COLD_SERVERS = 2


class Trial(typing.NamedTuple):
    """One run of a case; `owner` is the server of a probed key."""

    system: systems.System
    seconds: float
    owner: str
    client: http_client.Client
    draw: random.Random

    async def control(self, server: str, **wishes: object) -> None:
        """Change the behaviour of a stand-in server.

        Raises
        ------
        RuntimeError
            If the server did not confirm it.
        """
        result = await self.client.request(
            self.system.address(server),
            "POST",
            "/control",
            body=json.dumps(wishes).encode(),
        )
        if isinstance(result, http_client.Failure) or result.status != 200:
            raise RuntimeError(f"{server} did not take {wishes}: {result}")


if typing.TYPE_CHECKING:
    Fault = Callable[[Trial], Coroutine[None, None, None]]


async def no_fault(trial: Trial) -> None:
    """Leave the system alone."""


def slow(count: int) -> Fault:
    """Return a fault that slows other servers every 200 ms."""

    async def run(trial: Trial) -> None:
        loop = asyncio.get_running_loop()
        begin = loop.time()
        servers = trial.system.lookup_servers()
        for turn in range(int(trial.seconds / SLOW_SECONDS)):
            wishes = {"factor": SLOW_FACTOR, "seconds": SLOW_SECONDS}
            chosen = trial.draw.sample(servers, count)
            await asyncio.gather(
                *(trial.control(server, slow=wishes) for server in chosen)
            )
            next_turn = begin + (turn + 1) * SLOW_SECONDS
            await asyncio.sleep(max(0.0, next_turn - loop.time()))

    return run


async def cold(trial: Trial) -> None:
    """Turn two servers cold."""
    servers = trial.system.lookup_servers()
    chosen = trial.draw.sample(servers, COLD_SERVERS)
    await asyncio.gather(
        *(trial.control(server, cold=True) for server in chosen)
    )


async def domain_leaves(trial: Trial) -> None:
    """Take a failure domain out, and in again a third of the load later."""
    hosts = trial.system.deployment.settings_by_host
    domains = next(iter(hosts.values())).failure_domains
    domain = trial.draw.choice(domains)
    await asyncio.sleep(trial.seconds / 5)
    await asyncio.to_thread(trial.system.set_domain, domain, "out")
    await asyncio.sleep(trial.seconds / 3)
    await asyncio.to_thread(trial.system.set_domain, domain, "in")


def kill_hosts(count: int) -> Fault:
    """Return a fault that ends entry hosts by SIGKILL."""

    async def run(trial: Trial) -> None:
        chosen = trial.draw.sample(trial.system.deployment.hosts, count)
        await asyncio.sleep(trial.seconds / 3)
        for host in chosen:
            trial.system.running.kill(host)

    return run


def lose_owner(wish: str) -> Fault:
    """Return a fault that takes an owner away, by its control wish."""

    async def run(trial: Trial) -> None:
        await asyncio.sleep(trial.seconds / 3)
        await trial.control(trial.owner, **{wish: LOSS_SECONDS})

    return run
