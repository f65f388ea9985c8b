"""Reads the status of the other hosts with calls to their daemons."""

from __future__ import annotations

import typing

import anyio
import msgspec

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc import client as rpc_client

if typing.TYPE_CHECKING:
    import collections.abc

CALL_TIMEOUT = 1.0  # seconds
MAX_CONCURRENT_CALLS = 64

_DECODER = msgspec.json.Decoder(dict[str, typing.Any])


class Member(typing.Protocol):
    """A host in the membership list."""

    @property
    def peers(self) -> str:
        """IP address and port at which the daemon takes peer calls."""


class Membership(typing.Protocol):
    """The membership list (`membership.client.MembershipClient`)."""

    @property
    def members_by_host(self) -> collections.abc.Mapping[str, Member]:
        """Hosts in the list as last read."""


class PeerStatuses:
    """Reads the status of the other hosts in the membership list.

    Parameters
    ----------
    host : str
        Name of this host, which is left out.
    membership : Membership
        The list of hosts.
    """

    def __init__(self, host: str, membership: Membership) -> None:
        self._host = host
        self._membership = membership

    def hosts(self) -> collections.abc.Collection[str]:
        """Return the names of the hosts in the membership list."""
        return set(self._membership.members_by_host)

    async def statuses(
        self,
    ) -> dict[str, dict[str, typing.Any] | outcomes.Refusal]:
        """Return each other host's status, or why it could not be read."""
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)
        answers_by_host: dict[
            str, dict[str, typing.Any] | outcomes.Refusal
        ] = {}

        async def fetch(host: str, address: str) -> None:
            async with limiter:
                answers_by_host[host] = await _fetch_status(address)

        async with anyio.create_task_group() as tasks:
            for host, member in self._membership.members_by_host.items():
                if host != self._host:
                    tasks.start_soon(fetch, host, member.peers)
        return dict(sorted(answers_by_host.items()))


async def _fetch_status(
    address: str,
) -> dict[str, typing.Any] | outcomes.Refusal:
    peer = rpc_client.PeerClient.from_address(address, CALL_TIMEOUT)
    try:
        answer = await peer.call("status")
        if isinstance(answer, outcomes.Refusal):
            return answer
        return _DECODER.decode(answer)
    except msgspec.MsgspecError as error:
        return outcomes.Refusal(
            codes.ResultCode.SERVER_UNREACHABLE,
            f"peer {address}: status is not a JSON object: {error}",
        )
    finally:
        await peer.close()
