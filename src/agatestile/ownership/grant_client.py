"""Grants to backend servers over HTTP, and calls to peers."""

from __future__ import annotations

import typing

import anyio
import httpcore
import msgspec

from agatestile.gateway import connection as gateway_connection
from agatestile.ownership import grants
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc import client as rpc_client

if typing.TYPE_CHECKING:
    from agatestile.state import records

MAX_REPLY = 16 * 1024
"""Longest body of an answer that is read, bytes."""

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(grants.GrantReply)


class Peer(typing.NamedTuple):
    """Address of a server, and the failure domain that asks it."""

    address: str
    domain: str


class GrantClient:
    """Sends grants over one connection per server and failure domain.

    A server that is the witness of another domain may get grants of two
    leaders on one host at the same time. A connection on which a call failed
    or timed out is closed, so that a late answer is never taken for the
    answer to a later grant.

    Parameters
    ----------
    timeout : float
        Longest time for one call, seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._by_peer: dict[Peer, gateway_connection.Connection] = {}

    async def grant(
        self, row: records.TableRow, request: grants.GrantRequest
    ) -> grants.GrantReply | outcomes.Refusal:
        """Send a grant to a server.

        Returns
        -------
        grants.GrantReply or Refusal
            ``SERVER_UNREACHABLE`` without an answer in time, or
            ``GRANT_REFUSED`` if the answer is not one to a grant.
        """
        body = _ENCODER.encode(request)
        peer = Peer(row.address, request.domain)
        answer = await self._call(peer, "POST", "/grant", body)
        if isinstance(answer, outcomes.Refusal):
            return answer
        status, content = answer
        if status != 200:
            return outcomes.Refusal(
                codes.ResultCode.GRANT_REFUSED,
                f"{row.server}: status {status}",
            )
        try:
            return _DECODER.decode(content)
        except msgspec.DecodeError as error:
            return outcomes.Refusal(
                codes.ResultCode.GRANT_REFUSED, f"{row.server}: {error}"
            )

    async def probe(self, row: records.TableRow) -> bool:
        """Tell whether a server that does not check fences answers."""
        peer = Peer(row.address, row.domain)
        answer = await self._call(peer, "GET", "/health", b"")
        return not isinstance(answer, outcomes.Refusal) and answer[0] < 500

    async def close(self) -> None:
        """Close all connections."""
        for peer in list(self._by_peer):
            await self._drop(peer)

    async def _call(
        self, peer: Peer, method: str, path: str, body: bytes
    ) -> tuple[int, bytes] | outcomes.Refusal:
        done = False
        try:
            with anyio.fail_after(self._timeout):
                answer = await self._exchange(peer, method, path, body)
            done = True
            return answer
        except (
            TimeoutError,
            OSError,
            ValueError,
            httpcore.ConnectionNotAvailable,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            return outcomes.Refusal(
                codes.ResultCode.SERVER_UNREACHABLE,
                f"{peer.address}: {type(error).__name__} {error}".rstrip(),
            )
        finally:
            if not done:
                await self._drop(peer)

    async def _exchange(
        self, peer: Peer, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        connection = self._by_peer.get(peer)
        if connection is not None and (
            connection.has_expired() or not connection.is_available()
        ):
            await self._drop(peer)
            connection = None
        if connection is None:
            endpoint = gateway_connection.Endpoint.from_address(peer.address)
            connection = gateway_connection.Connection(*endpoint)
            self._by_peer[peer] = connection
        headers = [
            (b"host", peer.address.encode("ascii")),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        answer = await connection.exchange(
            method.encode("ascii"), path.encode("ascii"), headers, body
        )
        content = b""
        async for part in answer.body:
            content += part
            if len(content) > MAX_REPLY:
                raise ValueError("answer is too long")
        return answer.status, content

    async def _drop(self, peer: Peer) -> None:
        connection = self._by_peer.pop(peer, None)
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.aclose()


class PeerCalls:
    """Calls to peers, one connection per peer and kind of call.

    Parameters
    ----------
    timeout : float
        Longest time for one call, seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._clients: dict[tuple[str, str, str], rpc_client.PeerClient] = {}

    async def call(
        self, address: str, method: str, *arguments: typing.Any
    ) -> typing.Any | outcomes.Refusal:
        """Call a method of the Peer service at an address."""
        first = arguments[0] if arguments else ""
        key = (address, method, str(getattr(first, "domain", first)))
        if key not in self._clients:
            self._clients[key] = rpc_client.PeerClient.from_address(
                address, self._timeout
            )
        return await self._clients[key].call(method, *arguments)

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()
