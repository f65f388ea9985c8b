"""Polls the platform's membership list, which is only a hint."""

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
    """A host in the platform's membership list.

    Attributes
    ----------
    host : str
        Name of the host.
    failure_domain : str
        Failure domain of the host.
    peers, forward, admin : str
        Addresses of the host in the form ``ip:port``.
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
    """Keeps the last membership list read from the platform.

    Parameters
    ----------
    url : str
        Base address of the membership service.
    interval : float
        Time between two polls, seconds.
    timeout : float
        Longest time for one poll, seconds.

    Attributes
    ----------
    members_by_host : dict of str to Member
        Members of the last list, empty until one has been read.
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
        """Read the list once. Return whether that succeeded."""
        try:
            with anyio.fail_after(self._timeout):
                response = await self._pool.request("GET", self._url)
            if response.status != 200:
                self._log_availability(
                    f"responded with status {response.status}"
                )
                return False
            members = _DECODER.decode(response.content)
        except _FAILURES as error:
            self._log_availability(f"{type(error).__name__} {error}".rstrip())
            return False
        self._log_availability("")
        self.members_by_host = {member.host: member for member in members}
        return True

    async def close(self) -> None:
        """Close the connection to the service."""
        await self._pool.aclose()

    def _log_availability(self, failure: str) -> None:
        """Log the start and the end of an outage, not each failed poll."""
        reachable = not failure
        if reachable != self._reachable:
            self._reachable = reachable
            LOG.warning("membership: %s", failure or "reachable again")
