"""Spreads requests over entry hosts as the platform's balancer does."""

from __future__ import annotations

import asyncio
import typing

from bench import http_client

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

READY_INTERVAL = 0.25
READY_TIMEOUT = 0.5


class EntryHost(typing.NamedTuple):
    """Addresses of one entry host, as ip:port.

    Attributes
    ----------
    name : str
        Name of the host.
    callers : str
        Where requests go.
    admin : str
        Where GET /ready is asked.
    """

    name: str
    callers: str
    admin: str


class Exchange(typing.NamedTuple):
    """What became of one request.

    Attributes
    ----------
    host : str
        Entry host that was tried last.
    attempts : int
        How often the request was sent.
    result : Response or Failure
        The last outcome.
    """

    host: str
    attempts: int
    result: http_client.Response | http_client.Failure


class Balancer:
    """Sends each request to the next ready host.

    A request whose connection broke is sent once more to another host,
    marked as a repetition; one that was never sent goes to another host
    unmarked.
    """

    def __init__(self, hosts: list[EntryHost]) -> None:
        self._hosts = hosts
        self._ready = dict.fromkeys((host.name for host in hosts), False)
        self._next = 0
        self.client = http_client.Client()

    @property
    def ready(self) -> list[str]:
        """Names of the hosts that get requests."""
        return [name for name, ready in self._ready.items() if ready]

    async def poll_readiness(self) -> None:
        """Ask the hosts forever whether they are ready."""
        while True:
            await self.check_readiness()
            await asyncio.sleep(READY_INTERVAL)

    async def check_readiness(self) -> None:
        """Ask all hosts once whether they are ready."""
        await asyncio.gather(*(self._check_host(host) for host in self._hosts))

    async def _check_host(self, host: EntryHost) -> None:
        answer = await self.client.request(
            host.admin, "GET", "/ready", timeout=READY_TIMEOUT
        )
        self._ready[host.name] = (
            isinstance(answer, http_client.Response) and answer.status == 200
        )

    async def send(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout: float,
    ) -> Exchange:
        """Send a request to one host, or to a second if that fails."""
        attempts = 0
        result: http_client.Response | http_client.Failure
        result = http_client.Failure("connect")
        host = None
        for host in self._turn():
            attempts += 1
            marked = {**headers, "x-agatestile-attempt": str(attempts)}
            result = await self.client.request(
                host.callers, method, path, marked, body, timeout
            )
            if isinstance(result, http_client.Response):
                break
            if result.kind == "connect":
                self._ready[host.name] = False
                attempts -= 1
            elif attempts > 1 or result.kind == "timeout":
                break
        return Exchange(host.name if host else "", attempts, result)

    def _turn(self) -> list[EntryHost]:
        self._next += 1
        count = len(self._hosts)
        turned = [
            self._hosts[(self._next + step) % count] for step in range(count)
        ]
        return [host for host in turned if self._ready[host.name]]
