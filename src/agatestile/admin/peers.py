"""Status of the other hosts, over the calls between daemons."""

from __future__ import annotations

import typing

import anyio
import msgspec

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc import client as rpc_client

if typing.TYPE_CHECKING:
    import collections.abc

TIMEOUT = 1.0  # seconds
CALLS_AT_ONCE = 64

_DECODER = msgspec.json.Decoder(dict[str, typing.Any])


class Member(typing.Protocol):
    """A host in the membership list."""

    @property
    def peers(self) -> str:
        """IP address and port for calls between daemons."""


class Membership(typing.Protocol):
    """The membership list (`membership.client.MembershipClient`)."""

    @property
    def members_by_host(self) -> collections.abc.Mapping[str, Member]:
        """Return the last list."""


class PeerStatuses:
    """Asks the other hosts of the membership list for their status.

    Parameters
    ----------
    host : str
        Name of this host, which is not asked.
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
        """Return the status of each other host, or why there is none."""
        limiter = anyio.CapacityLimiter(CALLS_AT_ONCE)
        found: dict[str, dict[str, typing.Any] | outcomes.Refusal] = {}

        async def ask(host: str, address: str) -> None:
            async with limiter:
                found[host] = await _ask(address)

        async with anyio.create_task_group() as tasks:
            for host, member in self._membership.members_by_host.items():
                if host != self._host:
                    tasks.start_soon(ask, host, member.peers)
        return dict(sorted(found.items()))


async def _ask(address: str) -> dict[str, typing.Any] | outcomes.Refusal:
    peer = rpc_client.PeerClient.from_address(address, TIMEOUT)
    try:
        answer = await peer.call("status")
        if isinstance(answer, outcomes.Refusal):
            return answer
        return _DECODER.decode(answer)
    except msgspec.MsgspecError as error:
        return outcomes.Refusal(
            codes.ResultCode.SERVER_UNREACHABLE,
            f"peer {address}: status is not JSON: {error}",
        )
    finally:
        await peer.close()
