"""Tests of the choice of entry hosts and of second attempts."""

from __future__ import annotations

import asyncio
import typing

import pytest

from bench import balancer
from bench import http_client

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class _Host:
    """HTTP server that sends fixed bytes and closes the connection."""

    def __init__(
        self, response: bytes, ready_status: bytes = b"200 OK"
    ) -> None:
        self.heads: list[str] = []
        self._response = response
        self._ready_status = ready_status

    async def open(self, name: str) -> balancer.EntryHost:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        return balancer.EntryHost(name, address, address)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        if head.startswith("GET /ready"):
            length = b"\r\ncontent-length: 0\r\n\r\n"
            writer.write(b"HTTP/1.1 " + self._ready_status + length)
        else:
            self.heads.append(head)
            writer.write(self._response)
        await writer.drain()
        writer.close()


async def _send(*hosts: _Host) -> balancer.Exchange:
    entry_hosts = [await host.open(f"e{n}") for n, host in enumerate(hosts)]
    entry_balancer = balancer.Balancer(entry_hosts)
    await entry_balancer.check_readiness()
    return await entry_balancer.send("POST", "/a/b", {}, b"x", 1.0)


@pytest.mark.anyio
async def test_second_attempt_after_a_broken_response_is_marked() -> None:
    """Guards against a second attempt that a gate can't recognise.

    The first host closes the connection before the end of its response.
    """
    cut, good = _Host(OK[:-1]), _Host(OK)
    exchange = await _send(good, cut)
    assert len(cut.heads) == 1
    assert "x-agatestile-attempt: 1" in cut.heads[0]
    assert "x-agatestile-attempt: 2" in good.heads[0]
    assert exchange.attempts == 2
    result = typing.cast(http_client.Response, exchange.result)
    assert result.body == b"ok"


@pytest.mark.anyio
async def test_host_that_is_not_ready_gets_no_request() -> None:
    """Guards against requests to a leaving host, whose /ready fails."""
    leaving, good = _Host(OK, b"503 Leaving"), _Host(OK)
    exchange = await _send(leaving, good)
    assert (leaving.heads, len(good.heads)) == ([], 1)
    assert exchange.host == "e1"
