"""Servers that write a response again on a connection that is kept open."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import pytest

from agatestile.catalog import configuration
from agatestile.transport import client_connection
from tests.entry import support
from tests.transport import support as transport_support

pytestmark = pytest.mark.anyio
UNSAFE = configuration.RouteKind.UNSAFE


class RepeatingServer:
    """Writes its first response again before each later one.

    Parameters
    ----------
    first : callable
        Returns the first response; all later requests are run.
    """

    def __init__(
        self, first: typing.Callable[[support.ReceivedRequest], bytes]
    ) -> None:
        self._first = first
        self._has_responded = False
        self.run_ids: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        copy = b""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(support.header_value(head, b"content-length") or 0)
            await reader.readexactly(length)
            received = support.ReceivedRequest("a", head, b"")
            if not self._has_responded:
                self._has_responded = True
                copy = self._first(received)
                writer.write(copy)
                continue
            writer.write(copy)
            name = support.header_value(head, b"x-request-id")
            self.run_ids.append(name)
            writer.write(support.signed_response(received, body=b"second"))

    @contextlib.asynccontextmanager
    async def running(
        self, harness: support.HandlerHarness
    ) -> typing.AsyncIterator[None]:
        async with transport_support.serving(self.serve) as address:
            harness.add_to_directory("a", address)
            yield


@pytest.mark.parametrize("connections", [0, 2])
@pytest.mark.parametrize("status", [503, 429, 421])
async def test_repeated_refusal_is_not_taken_for_that_of_the_retry(
    status: int, connections: int
) -> None:
    """Guards against "not run" for a request that the server has run.

    The retry of a request for a key goes to the same owner with the same
    identifier, so the identifier does not tell the copy from its response.
    """

    def refuse(received: support.ReceivedRequest) -> bytes:
        return support.signed_response(
            received, status, b"", b"x-not-executed: 1\r\n"
        )

    server = RepeatingServer(refuse)
    async with support.handler_harness() as harness, server.running(harness):
        harness.configure(UNSAFE, partitioned=True)
        harness.assign("a")
        pool = harness.handler.pool
        entry = harness.fleet.directory.by_id["a"].entry
        opened = [await pool.open(entry.address) for _ in range(connections)]
        for connection in opened:
            assert isinstance(connection, client_connection.Connection)
            pool.release(("a", 1), connection)
        response = await harness.send(b"POST", b"x", key=5)
    if connections:
        assert (response.status, response.body) == (200, b"second")
        assert server.run_ids == [b"id-1"]
    else:
        assert (response.status, server.run_ids) == (503, [])


@pytest.mark.parametrize("request_id", [b"id-2", b""])
async def test_second_copy_of_a_response_reaches_no_other_caller(
    request_id: bytes,
) -> None:
    """Guards against a response that belongs to the previous caller.

    The copy has the same status and length as the expected response.
    """

    def respond(received: support.ReceivedRequest) -> bytes:
        return support.signed_response(received, body=b"first.")

    server = RepeatingServer(respond)
    async with support.handler_harness() as harness, server.running(harness):
        harness.configure(attempts=1)
        first = await harness.send(request_id=request_id and b"id-1")
        second = await harness.send(request_id=request_id)
    assert [first.body, second.body] == [b"first.", b"second"]
