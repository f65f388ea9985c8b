"""Adapts packages to the interfaces that other packages expect."""

from __future__ import annotations

import typing

import anyio

from agatestile.ownership import ports
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.membership import client as membership_client
    from agatestile.ownership import grant_client

MAX_SNAPSHOT_PEERS = 5


class MembershipHosts:
    """Presents the membership list as the hosts that ownership expects."""

    def __init__(self, client: membership_client.MembershipClient) -> None:
        self._client = client

    def hosts(self) -> collections.abc.Sequence[ports.Host]:
        """Return the hosts in the list as last read."""
        return [
            ports.Host(member.host, member.failure_domain, member.peers)
            for member in self._client.members_by_host.values()
        ]


class PeerSnapshots:
    """Requests snapshots from peers while the log cannot provide one.

    Parameters
    ----------
    host, domain : str
        This host and its failure domain, whose hosts are tried first.
    client : membership_client.MembershipClient
        Reads the membership list.
    calls : grant_client.PeerCalls
        Calls to peers.
    """

    def __init__(
        self,
        host: str,
        domain: str,
        client: membership_client.MembershipClient,
        calls: grant_client.PeerCalls,
    ) -> None:
        self._host = host
        self._domain = domain
        self._client = client
        self._calls = calls

    async def __call__(self) -> collections.abc.Sequence[tuple[int, bytes]]:
        """Return offset and checkpoint of each peer that answered."""
        members = sorted(
            self._client.members_by_host.values(),
            key=lambda member: member.failure_domain != self._domain,
        )
        snapshots: list[tuple[int, bytes]] = []

        async def fetch(address: str) -> None:
            answer = await self._calls.call(address, "snapshot")
            if not isinstance(answer, outcomes.Refusal) and answer.body:
                snapshots.append((answer.offset, answer.body))

        async with anyio.create_task_group() as tasks:
            for member in members[: MAX_SNAPSHOT_PEERS + 1]:
                if member.host != self._host:
                    tasks.start_soon(fetch, member.peers)
        return snapshots
