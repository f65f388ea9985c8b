"""Choice of entry hosts, and what is sent a second time."""

from __future__ import annotations

import asyncio
import typing

import pytest

from bench import balancer
from bench import http_client

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class _Host:
    """Raw HTTP server that answers with fixed bytes, then closes."""

    def __init__(self, answer: bytes, ready: bytes = b"200 OK") -> None:
        self.heads: list[str] = []
        self._answer = answer
        self._ready = ready

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
            writer.write(b"HTTP/1.1 " + self._ready + length)
        else:
            self.heads.append(head)
            writer.write(self._answer)
        await writer.drain()
        writer.close()


async def _send(*hosts: _Host) -> balancer.Exchange:
    opened = [await host.open(f"e{n}") for n, host in enumerate(hosts)]
    spread = balancer.Balancer(opened)
    await spread.check_readiness()
    return await spread.send("POST", "/a/b", {}, b"x", 1.0)


@pytest.mark.anyio
async def test_broken_request_is_marked_when_sent_again() -> None:
    """Guards against a repetition that a gate can't recognise."""
    cut, good = _Host(OK[:-1]), _Host(OK)
    exchange = await _send(good, cut)
    assert len(cut.heads) == 1
    assert "x-agatestile-attempt: 1" in cut.heads[0]
    assert "x-agatestile-attempt: 2" in good.heads[0]
    assert exchange.attempts == 2
    result = typing.cast(http_client.Response, exchange.result)
    assert result.body == b"ok"


@pytest.mark.anyio
async def test_host_that_is_not_ready_gets_nothing() -> None:
    """Guards against load on a host that is leaving."""
    leaving, good = _Host(OK, b"503 Leaving"), _Host(OK)
    exchange = await _send(leaving, good)
    assert (leaving.heads, len(good.heads)) == ([], 1)
    assert exchange.host == "e1"
