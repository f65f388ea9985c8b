"""Polls the platform's list of hosts, which is only a hint."""

from __future__ import annotations

import logging
import typing

import anyio
import httpcore
import msgspec

LOG = logging.getLogger(__name__)

_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
    TimeoutError,
    msgspec.MsgspecError,
)


class Member(msgspec.Struct, frozen=True):
    """A host as the platform lists it.

    Attributes
    ----------
    host : str
        Name of the host.
    failure_domain : str
        Its failure domain.
    peers, forward, admin : str
        Its addresses in the form ``ip:port``.
    state : str
        "live" or "leaving".
    """

    host: str
    failure_domain: str
    peers: str
    forward: str
    admin: str
    state: str


_DECODER = msgspec.json.Decoder(list[Member])


class MembershipClient:
    """Keeps the last list of hosts that the platform gave.

    Parameters
    ----------
    url : str
        Base address of the service.
    interval : float
        Time between two polls, seconds.
    timeout : float
        Longest time for one poll, seconds.

    Attributes
    ----------
    members_by_host : dict of str to Member
        The last list, empty before the first.
    """

    def __init__(
        self, url: str, interval: float = 1.0, timeout: float = 1.0
    ) -> None:
        self.members_by_host: dict[str, Member] = {}
        self._url = url.rstrip("/") + "/hosts"
        self._interval = interval
        self._timeout = timeout
        self._pool = httpcore.AsyncConnectionPool(max_connections=1)
        self._reachable = True

    async def run(self) -> typing.NoReturn:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await anyio.sleep(self._interval)

    async def poll(self) -> bool:
        """Ask once; tell whether the list was renewed."""
        try:
            with anyio.fail_after(self._timeout):
                response = await self._pool.request("GET", self._url)
            if response.status != 200:
                self._report(f"answered {response.status}")
                return False
            members = _DECODER.decode(response.content)
        except _FAILURES as error:
            self._report(f"{type(error).__name__} {error}".rstrip())
            return False
        self._report("")
        self.members_by_host = {member.host: member for member in members}
        return True

    async def close(self) -> None:
        """Close the connection."""
        await self._pool.aclose()

    def _report(self, failure: str) -> None:
        """Log the begin and the end of an outage, not each failed poll."""
        reachable = not failure
        if reachable != self._reachable:
            self._reachable = reachable
            LOG.warning("membership: %s", failure or "reachable again")
