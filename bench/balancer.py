"""Distributes requests over entry hosts as the platform's balancer does."""

from __future__ import annotations

import asyncio
import typing

from bench import http_client

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

READY_INTERVAL_SECONDS = 0.25
READY_TIMEOUT_SECONDS = 0.5


class EntryHost(typing.NamedTuple):
    """Addresses of one entry host, as ip:port.

    Attributes
    ----------
    name : str
        Name of the host.
    callers : str
        Address for requests of callers.
    admin : str
        Address for GET /ready.
    """

    name: str
    callers: str
    admin: str


class Exchange(typing.NamedTuple):
    """Outcome of one request.

    Attributes
    ----------
    host : str
        Entry host that was tried last.
    attempts : int
        Number of times that the request was sent.
    result : Response or Failure
        Result of the last attempt.
    """

    host: str
    attempts: int
    result: http_client.Response | http_client.Failure


class Balancer:
    """Sends requests to the ready hosts in turn.

    A request whose connection broke is sent once more, to another host and
    marked as a second attempt. A request that was never sent goes to another
    host without counting as an attempt.
    """

    def __init__(self, hosts: list[EntryHost]) -> None:
        self._hosts = hosts
        self._ready = dict.fromkeys((host.name for host in hosts), False)
        self._next = 0
        self.client = http_client.Client()

    @property
    def ready(self) -> list[str]:
        """Names of the hosts that are ready for requests."""
        return [name for name, ready in self._ready.items() if ready]

    async def poll_readiness(self) -> None:
        """Check the readiness of all hosts at an interval, forever."""
        while True:
            await self.check_readiness()
            await asyncio.sleep(READY_INTERVAL_SECONDS)

    async def check_readiness(self) -> None:
        """Check once whether each host is ready."""
        await asyncio.gather(*(self._check_host(host) for host in self._hosts))

    async def _check_host(self, host: EntryHost) -> None:
        response = await self.client.request(
            host.admin, "GET", "/ready", timeout=READY_TIMEOUT_SECONDS
        )
        self._ready[host.name] = (
            isinstance(response, http_client.Response)
            and response.status == 200
        )

    async def send(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout: float,
    ) -> Exchange:
        """Send a request to the next ready host, and to others if it fails."""
        attempts = 0
        result: http_client.Response | http_client.Failure
        result = http_client.Failure("connect")
        host = None
        for host in self._hosts_in_turn():
            attempts += 1
            attempt_headers = {
                **headers,
                "x-agatestile-attempt": str(attempts),
            }
            result = await self.client.request(
                host.callers, method, path, attempt_headers, body, timeout
            )
            if isinstance(result, http_client.Response):
                break
            if result.kind == "connect":
                self._ready[host.name] = False
                attempts -= 1
            elif attempts > 1 or result.kind == "timeout":
                break
        return Exchange(host.name if host else "", attempts, result)

    def _hosts_in_turn(self) -> list[EntryHost]:
        self._next += 1
        count = len(self._hosts)
        rotated = [
            self._hosts[(self._next + step) % count] for step in range(count)
        ]
        return [host for host in rotated if self._ready[host.name]]
