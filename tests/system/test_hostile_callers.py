"""Callers that want to exhaust the memory or the descriptors of a host.

Each case starts the program on loopback addresses, with stand-ins of the store
and of a server, and plays one kind of input. No case depends on the speed of
the machine: they check that the process lives, that its memory and its
descriptors stay within the settings and that an ordinary request is answered
while the callers' connections are still open.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import typing

import pytest

from tests.system import hostile_host


pytestmark = [pytest.mark.anyio, pytest.mark.slow]


HEAD_MEMORY_MB = 60
"""The same for callers that never get to a body, 10^6 bytes."""


LARGEST_BODY_BYTES = 64 * 1024 * 1024
"""Largest body within the limits of the deployments."""

MISSING_BYTES = 16
"""What a caller that stops just short of the end does not send."""

BODY_CALLERS = 40
SMALL_CHUNK_CALLERS = 24
HEAD_CALLERS = 4
HEAD_BYTES_PER_CALLER = 64 * 1024 * 1024
SILENT_CALLERS = 600
READING_CALLERS = 30


CROWD_SECONDS = 5.0
"""Time after which callers stop to send, whatever they have left."""

ORDINARY_ATTEMPTS = 20
"""Attempts of the ordinary request; it may be refused while the host is under
pressure."""

POST = b"POST /plain/1 HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request-id: h0.x\r\n"
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"

Pieces = typing.Iterator[bytes]


class _Crowd:
    """Callers that send the same and keep their connections open."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._writers: list[asyncio.StreamWriter] = []

    async def send(
        self,
        count: int,
        pieces: typing.Callable[[int], Pieces],
    ) -> None:
        """Send the pieces of each caller, for a limited time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CROWD_SECONDS):
                await asyncio.gather(
                    *(self._send(pieces(number)) for number in range(count))
                )

    async def _send(self, pieces: Pieces) -> None:
        with contextlib.suppress(OSError):
            # Nothing is read: callers of this kind don't wait for answers.
            _, writer = await asyncio.open_connection(
                "127.0.0.1", self._port, limit=1024
            )
            self._writers.append(writer)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()


def _repeat(block: bytes, size: int) -> Pieces:
    for _ in range(size // len(block)):
        yield block


def _endless_headers(number: int) -> Pieces:
    yield POST
    yield from _repeat(b"a: b\r\n" * 4096, HEAD_BYTES_PER_CALLER)


def _endless_header_value(number: int) -> Pieces:
    yield POST + b"a: "
    yield from _repeat(b"b" * 65536, HEAD_BYTES_PER_CALLER)


def _empty_lines(number: int) -> Pieces:
    yield from _repeat(b"\r\n" * 32768, HEAD_BYTES_PER_CALLER)


def _is_short(number: int) -> bool:
    """Return whether a caller of a mixed crowd stops short of the end."""
    return number % 4 != 0


def _body(number: int, piece: int, may_stop: bool) -> Pieces:
    yield POST + b"content-length: %d\r\n\r\n" % hostile_host.BODY_BYTES
    left = hostile_host.BODY_BYTES
    if may_stop and _is_short(number):
        left -= MISSING_BYTES
    while left:
        size = min(left, piece)
        yield b"b" * size
        left -= size


def _chunks(number: int, size: int, may_stop: bool) -> Pieces:
    yield CHUNKED
    chunk = b"%x\r\n%b\r\n" % (size, b"b" * size)
    per_write = max(1, 65536 // size)
    count = hostile_host.BODY_BYTES // size
    if may_stop and _is_short(number):
        count -= per_write
    yield from _repeat(chunk * per_write, count * len(chunk))
    if not may_stop or not _is_short(number):
        yield b"0\r\n\r\n"


def _large_response(number: int) -> Pieces:
    yield (
        b"GET /plain/large HTTP/1.1\r\nhost: 127.0.0.1\r\n"
        b"x-request-id: h0.r%d\r\n\r\n" % number
    )


def _nothing(number: int) -> Pieces:
    yield b""


class _Case(typing.NamedTuple):
    callers: int
    pieces: typing.Callable[[int], Pieces]
    memory: int = hostile_host.MEMORY_MB


CASES = {
    "many-headers": _Case(HEAD_CALLERS, _endless_headers, HEAD_MEMORY_MB),
    "header-value": _Case(HEAD_CALLERS, _endless_header_value, HEAD_MEMORY_MB),
    "empty-lines": _Case(HEAD_CALLERS, _empty_lines, HEAD_MEMORY_MB),
    "whole": _Case(
        BODY_CALLERS, lambda n: _body(n, hostile_host.BODY_BYTES, False)
    ),
    "whole-short": _Case(
        BODY_CALLERS, lambda n: _body(n, hostile_host.BODY_BYTES, True)
    ),
    "pieces": _Case(BODY_CALLERS, lambda n: _body(n, 65536, False)),
    "pieces-short": _Case(BODY_CALLERS, lambda n: _body(n, 65536, True)),
    "large-chunks": _Case(BODY_CALLERS, lambda n: _chunks(n, 1 << 20, False)),
    "large-chunks-short": _Case(
        BODY_CALLERS, lambda n: _chunks(n, 1 << 20, True)
    ),
    "small-chunks": _Case(
        SMALL_CHUNK_CALLERS, lambda n: _chunks(n, 64, False)
    ),
    "small-chunks-short": _Case(
        SMALL_CHUNK_CALLERS, lambda n: _chunks(n, 64, True)
    ),
    "silent-connections": _Case(SILENT_CALLERS, _nothing),
    "unread-responses": _Case(READING_CALLERS, _large_response),
}


@pytest.mark.parametrize("name", CASES)
async def test_host_survives_callers(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a process that runs out of memory or descriptors."""
    case = CASES[name]
    async with hostile_host.Host(tmp_path, memory=case.memory) as host:
        crowd = _Crowd(host.ports[0])
        try:
            await crowd.send(case.callers, case.pieces)
            is_served = await host.is_served(ORDINARY_ATTEMPTS)
            host.check()
            assert is_served
        finally:
            crowd.close()


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_largest_body_is_served_within_the_memory(
    is_chunked: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against a body that is copied on its way to the server."""
    async with hostile_host.Host(
        tmp_path, LARGEST_BODY_BYTES, hostile_host.LEAST_DEPLOYED_MEMORY_MB
    ) as host:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", host.ports[0]
        )
        try:
            piece = b"b" * (1 << 20)
            if is_chunked:
                writer.write(CHUNKED)
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            else:
                writer.write(
                    POST + b"content-length: %d\r\n\r\n" % LARGEST_BODY_BYTES
                )
            for _ in range(LARGEST_BODY_BYTES >> 20):
                writer.write(piece)
                await writer.drain()
            writer.write(b"0\r\n\r\n" if is_chunked else b"")
            async with asyncio.timeout(8.0):
                head = await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.transport.abort()
        assert head.split(b" ")[1] == b"200"
        assert max(host.server.bodies) == LARGEST_BODY_BYTES
        host.check()
