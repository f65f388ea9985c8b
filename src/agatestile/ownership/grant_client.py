"""Sends grants to backend servers over HTTP, and calls peers."""

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

MAX_REPLY_BYTES = 16 * 1024
"""Largest response body that is accepted."""

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(grants.GrantReply)


class _ConnectionKey(typing.NamedTuple):
    """Address of a server, and the failure domain whose leader calls it."""

    address: str
    domain: str


class GrantClient:
    """Sends grants over one connection per server and failure domain.

    A server that is the witness of another domain can get grants of two
    leaders on one host at the same time. A connection on which a call failed
    or timed out is closed, so that a late response is never taken for the
    response to a later grant.

    Parameters
    ----------
    timeout : float
        Timeout of one call, seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._connections_by_key: dict[
            _ConnectionKey, gateway_connection.Connection
        ] = {}

    async def grant(
        self, row: records.TableRow, request: grants.GrantRequest
    ) -> grants.GrantReply | outcomes.Refusal:
        """Send a grant to a server.

        Returns
        -------
        grants.GrantReply or Refusal
            ``SERVER_UNREACHABLE`` without a response in time, or
            ``GRANT_REFUSED`` if the response is not a grant reply.
        """
        body = _ENCODER.encode(request)
        key = _ConnectionKey(row.address, request.domain)
        response = await self._call(key, "POST", "/grant", body)
        if isinstance(response, outcomes.Refusal):
            return response
        status, content = response
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
        """Return whether a server that does not check fences answers."""
        key = _ConnectionKey(row.address, row.domain)
        response = await self._call(key, "GET", "/health", b"")
        return not isinstance(response, outcomes.Refusal) and response[0] < 500

    async def close(self) -> None:
        """Close all connections."""
        for key in list(self._connections_by_key):
            await self._drop(key)

    async def _call(
        self, key: _ConnectionKey, method: str, path: str, body: bytes
    ) -> tuple[int, bytes] | outcomes.Refusal:
        has_succeeded = False
        try:
            with anyio.fail_after(self._timeout):
                response = await self._exchange(key, method, path, body)
            has_succeeded = True
            return response
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
                f"{key.address}: {type(error).__name__} {error}".rstrip(),
            )
        finally:
            if not has_succeeded:
                await self._drop(key)

    async def _exchange(
        self, key: _ConnectionKey, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        connection = self._connections_by_key.get(key)
        if connection is not None and (
            connection.has_expired() or not connection.is_available()
        ):
            await self._drop(key)
            connection = None
        if connection is None:
            endpoint = gateway_connection.Endpoint.from_address(key.address)
            connection = gateway_connection.Connection(*endpoint)
            self._connections_by_key[key] = connection
        headers = [
            (b"host", key.address.encode("ascii")),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        response = await connection.exchange(
            method.encode("ascii"), path.encode("ascii"), headers, body
        )
        content = b""
        async for part in response.body:
            content += part
            if len(content) > MAX_REPLY_BYTES:
                raise ValueError(
                    f"response body is longer than {MAX_REPLY_BYTES} bytes"
                )
        return response.status, content

    async def _drop(self, key: _ConnectionKey) -> None:
        connection = self._connections_by_key.pop(key, None)
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.aclose()


class PeerCalls:
    """Calls to peers, one connection per address, method and domain.

    Parameters
    ----------
    timeout : float
        Timeout of one call, seconds.
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
