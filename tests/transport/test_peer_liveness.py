"""Peers that take no data for a while, and those that are gone."""

from __future__ import annotations

import asyncio
import socket
import struct
import typing

import pytest

from agatestile.transport import client
from agatestile.transport import messages
from agatestile.transport import peer_liveness

pytestmark = pytest.mark.anyio

BODY_BYTES = 4 * 1024 * 1024
OK = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nok"


def _tcp_info(
    probes: int = 0,
    backoff: int = 0,
    interval: float = 0.2,
    unacknowledged: int = 0,
    acknowledged: float = 0.0,
) -> bytes:
    fields = [0] * 21
    fields[3], fields[4] = probes, backoff
    fields[8] = int(interval * 1e6)
    fields[12] = unacknowledged
    fields[20] = int(acknowledged * 1e3)
    return struct.pack("8B13I", *fields)


@pytest.mark.parametrize(
    ("info", "is_gone"),
    [
        # All is acknowledged: the server works on the request.
        (_tcp_info(acknowledged=60.0), False),
        (_tcp_info(unacknowledged=3, acknowledged=1.9), False),
        (_tcp_info(unacknowledged=3, interval=1.6, acknowledged=2.3), False),
        (_tcp_info(unacknowledged=3, interval=1.6, acknowledged=2.5), True),
        (_tcp_info(unacknowledged=3, acknowledged=2.1), True),
        # The peer has no room, and answers each probe.
        (_tcp_info(probes=1, backoff=4, acknowledged=3.3), False),
        (_tcp_info(probes=0, backoff=4, acknowledged=9.0), False),
        (_tcp_info(probes=2, backoff=4, acknowledged=4.9), True),
    ],
)
def test_only_a_peer_that_acknowledges_nothing_is_gone(
    info: bytes, is_gone: bool
) -> None:
    """Guards against uploads that end at a server that reads slowly."""
    assert peer_liveness.TcpState.from_tcp_info(info).is_peer_gone == is_gone


class _Socket:
    """Socket of which the kernel says what a test wants."""

    def __init__(self, info: bytes) -> None:
        self._info = info
        self._own, self.peer = socket.socketpair()
        self.value_by_option: dict[int, int] = {}

    def setsockopt(self, level: int, option: int, value: int) -> None:
        self.value_by_option[option] = value

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        return self._info[:size]

    def fileno(self) -> int:
        return self._own.fileno()

    def close(self) -> None:
        self._own.close()
        self.peer.close()


@pytest.mark.parametrize(
    ("info", "has_unsent", "gone_count", "limit"),
    [
        (_tcp_info(unacknowledged=1, acknowledged=5.0), True, 1, 0),
        (_tcp_info(probes=1, acknowledged=0.1), True, 0, 0),
        (_tcp_info(), False, 0, 2000),
        (b"", True, 0, 0),
    ],
)
async def test_watch_ends_with_the_acknowledgement_or_the_peer(
    info: bytes,
    has_unsent: bool,
    gone_count: int,
    limit: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a peer that is gone and is waited for to the deadline.

    The limit applies again once all is acknowledged.
    """
    monkeypatch.setattr(peer_liveness, "CHECK_INTERVAL_SECONDS", 0.01)
    raw = _Socket(info)
    gone: list[bool] = []
    watch = peer_liveness.PeerWatch(
        raw, lambda: has_unsent, lambda: gone.append(True)
    )
    watch.start()
    await asyncio.sleep(0.1)
    assert len(gone) == gone_count
    assert raw.value_by_option[socket.TCP_USER_TIMEOUT] == limit
    assert raw.value_by_option[socket.SO_KEEPALIVE] == (not limit)
    watch.stop()
    assert raw.value_by_option[socket.TCP_USER_TIMEOUT] == 2000
    watch.start()
    raw.close()
    await asyncio.sleep(0.05)
    assert len(gone) == gone_count
    watch.stop()


@pytest.mark.parametrize("pause", [2.8, 4.5])
async def test_upload_waits_for_a_server_without_room(pause: float) -> None:
    """Guards against a request that is broken off at a live server (LOST).

    The server reads nothing for longer than sent data may stay
    unacknowledged, and its buffers are small (review, case 14).
    """
    received = 0

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal received
        received += len(await reader.read(1))
        await asyncio.sleep(pause)
        while received < BODY_BYTES + 5:
            received += len(await reader.read(100_000))
        writer.write(OK)
        await writer.drain()

    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
    listening.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listening, limit=16384)
    pool = client.Pool(asyncio.get_running_loop().time, b"x-id")
    connection: typing.Any = await pool.open(listening.getsockname())
    async with asyncio.timeout(pause + 5.0):
        result = await connection.exchange(
            b"head\n", b"1", body=bytes(BODY_BYTES)
        )
    connection.abort()
    server.close()
    assert isinstance(result, messages.Response)
