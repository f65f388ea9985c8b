"""Tests of the proxies on the links of a soak."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from bench import links

pytestmark = pytest.mark.anyio


class _Caller:
    """This process as the caller of a proxy."""

    def __init__(self, pid: int | None) -> None:
        self.name = "h0"
        self.ports: list[int] = []
        self.pid = pid

    def send(self, number: signal.Signals) -> None:
        """Send no signal."""


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while data := await reader.read(100):
            writer.write(data)
    except ConnectionError:
        # The proxy closes connections by a reset.
        pass
    finally:
        writer.close()


async def _connect(
    caller: _Caller,
) -> tuple[links.Proxy, asyncio.StreamReader, asyncio.StreamWriter]:
    listening = await asyncio.start_server(_echo, "127.0.0.1", 0)
    proxy = links.Proxy(listening.sockets[0].getsockname()[1], [caller])
    port = await proxy.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    return proxy, reader, writer


async def _is_echoed(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    writer.write(b"x")
    try:
        async with asyncio.timeout(0.3):
            return await reader.read(1) == b"x"
    except TimeoutError:
        return False


@pytest.mark.parametrize(
    "mode",
    [links.Mode.SILENT, links.Mode.NO_REQUESTS, links.Mode.NO_ANSWERS],
)
async def test_cut_holds_data_of_its_caller_only(mode: links.Mode) -> None:
    """Guards against cuts that reach hosts other than the chosen one."""
    proxy, reader, writer = await _connect(_Caller(os.getpid()))
    proxy.set_mode(mode, "h1")
    assert await _is_echoed(reader, writer)
    proxy.set_mode(mode, "h0")
    assert not await _is_echoed(reader, writer)
    proxy.set_mode(links.Mode.OPEN, "h0")
    assert await reader.read(1) == b"x"
    holds_requests = mode is not links.Mode.NO_ANSWERS
    assert bool(proxy.grant_excuses) is holds_requests
    writer.close()
    await writer.wait_closed()
    await asyncio.sleep(0.05)
    await proxy.stop()


@pytest.mark.parametrize("pid", [None, os.getppid()])
async def test_proxy_closes_connections_of_others(pid: int | None) -> None:
    """Guards against links that no cut reaches."""
    proxy, reader, writer = await _connect(_Caller(pid))
    assert await reader.read(1) == b""
    writer.close()
    await writer.wait_closed()
    await proxy.stop()
