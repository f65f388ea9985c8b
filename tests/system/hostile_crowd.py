"""A crowd of callers: `python -m tests.system.hostile_crowd KIND PORT COUNT`.

It is a process of its own, as one that shared the event loop of a test would
delay the ordinary requests of that test. It writes "sending" once all callers
have begun and "done" with the outcomes once all have ended or wait, and stays
connected until its standard input ends.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import socket
import sys
import typing

LEGAL_BODY_BYTES = 8 * 1024 * 1024
"""Limit on bodies in the settings of the tests."""

TINY_BODY_BYTES = 300_000
SMALL_BODY_BYTES = 65_000
NOTE_BYTES = 3_000
EXTENSION_BYTES = 500
MISSING_BYTES = 16
"""What a caller that stops just short of the end does not send."""

MAX_SECONDS = 120.0
"""Time after which a crowd ends by itself."""

PIPELINED_REQUESTS = 200
PARTS = 50
PART_SECONDS = 0.07
"""Interval in which a slow reader takes a part of its answer."""

SEGMENT_BYTES = 1460
RECEIVE_BYTES = 16 * 1024
"""Sizes with which the system keeps little of an answer for a slow reader."""

Pieces = typing.Iterator[bytes]


def _head(method: bytes, target: bytes, *headers: bytes) -> bytes:
    lines = [
        b"%b /plain/%b HTTP/1.1" % (method, target),
        b"host: 127.0.0.1",
        b"x-request-id: h0.crowd",
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _chunks(size: int, chunk: bytes) -> Pieces:
    """Return a body in chunks of a byte that stops short of its end."""
    yield _head(b"POST", b"1", b"transfer-encoding: chunked")
    for _ in range((size - MISSING_BYTES) // 4096):
        yield chunk * 4096


def _whole(size: int, missing: int) -> Pieces:
    head = _head(
        b"POST",
        b"1",
        b"content-length: %d" % size,
        b"x-note: " + b"n" * NOTE_BYTES,
    )
    yield head + b"b" * (size - missing)


def _pipelined() -> Pieces:
    for _ in range(PIPELINED_REQUESTS):
        yield from _whole(NOTE_BYTES, 0)


PIECES: dict[str, typing.Callable[[], Pieces]] = {
    "one-byte-chunks": lambda: _chunks(LEGAL_BODY_BYTES, b"1\r\na\r\n"),
    "one-byte-chunks-short": lambda: _chunks(TINY_BODY_BYTES, b"1\r\na\r\n"),
    "chunk-extensions": lambda: _chunks(
        LEGAL_BODY_BYTES, b"1;" + b"e" * EXTENSION_BYTES + b"\r\na\r\n"
    ),
    "large-bodies-short": lambda: _whole(LEGAL_BODY_BYTES, MISSING_BYTES),
    "small-bodies": lambda: _whole(SMALL_BODY_BYTES, 0),
    "small-bodies-short": lambda: _whole(SMALL_BODY_BYTES, MISSING_BYTES),
    "pipelined": _pipelined,
    "silent": lambda: iter((b"",)),
}


class Crowd:
    """Callers of one kind.

    Parameters
    ----------
    kind : str
        Key of `PIECES`, "downloads" or "slow-readers".
    port : int
        Port to connect to on the loopback address.
    """

    def __init__(self, kind: str, port: int) -> None:
        self._kind = kind
        self._port = port
        self._began = 0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._writers: list[asyncio.StreamWriter] = []

    async def run(self, count: int) -> None:
        """Play the callers until the standard input ends."""
        asyncio.get_running_loop().add_reader(sys.stdin.fileno(), self._stop)
        play = self._send if self._kind in PIECES else self._download
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_SECONDS):
                async with asyncio.TaskGroup() as tasks:
                    for _ in range(count):
                        tasks.create_task(self._play(play, count))
        self._report("done", **self._outcomes)
        # `_stop` ends the process.
        await asyncio.get_running_loop().create_future()

    def _stop(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        sys.exit(0)

    def _report(self, event: str, **fields: int) -> None:
        print(json.dumps({"event": event, **fields}), flush=True)

    async def _play(
        self,
        play: typing.Callable[
            [asyncio.StreamReader, asyncio.StreamWriter],
            typing.Coroutine[None, None, str],
        ],
        count: int,
    ) -> None:
        outcome = "closed"
        try:
            opened = socket.socket()
            opened.setblocking(False)
            if self._kind == "slow-readers":
                opened.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
                )
                opened.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
                )
            await asyncio.get_running_loop().sock_connect(
                opened, ("127.0.0.1", self._port)
            )
            reader, writer = await asyncio.open_connection(
                sock=opened, limit=1024
            )
            self._writers.append(writer)
            self._note_begin(count)
            outcome = await play(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self._note_begin(count, is_failed=True)
        self._outcomes[outcome] += 1

    def _note_begin(self, count: int, is_failed: bool = False) -> None:
        if is_failed and self._began >= count:
            return
        self._began += 1
        if self._began == count:
            self._report("sending")

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        # Nothing is read: callers of this kind don't wait for answers.
        for piece in PIECES[self._kind]():
            writer.write(piece)
            await writer.drain()
        return "sent"

    async def _download(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        """Ask for a large answer and return what became of it."""
        is_slow = self._kind == "slow-readers"
        target = b"report" if is_slow else b"statement"
        writer.write(_head(b"GET", target, b"x-deadline-ms: 6000"))
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        if status != 200:
            return "refused" if status in (429, 503) else "failed"
        length = int(head.lower().partition(b"content-length: ")[2].split()[0])
        parts = PARTS if is_slow else 1
        try:
            for _ in range(parts):
                await reader.readexactly(length // parts)
                await asyncio.sleep(PART_SECONDS if parts > 1 else 0)
        except (OSError, asyncio.IncompleteReadError):
            return "cut"
        return "whole"


def main() -> None:
    """Play the crowd that the arguments name."""
    kind, port, count = sys.argv[1:]
    asyncio.run(Crowd(kind, int(port)).run(int(count)))


if __name__ == "__main__":
    main()
