"""Reads requests and sends responses of the stand-in backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import hashlib
import time
import typing

import msgspec

Message = MutableMapping[str, typing.Any]
Scope = MutableMapping[str, typing.Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Headers = dict[bytes, bytes]

EMPTY_DIGEST = hashlib.blake2b(digest_size=8).hexdigest()

encode = msgspec.json.Encoder().encode


class Body(typing.NamedTuple):
    """Digest and size in bytes of a complete request body."""

    digest: str
    size: int


def header_text(headers: Headers, name: bytes) -> str:
    """Return the value of a header, "" if it is missing."""
    return headers.get(name, b"").decode("latin-1")


def parse_deadline(headers: Headers, now: float) -> float:
    """Return the clock at the request's deadline, seconds.

    It is infinite for a request without a deadline.
    """
    value = headers.get(b"x-deadline-ms")
    return now + float(value) / 1000 if value else float("inf")


async def read_body(
    receive: Receive, headers: Headers, deadline: float
) -> Body | str:
    """Return the body, or the reason why it could not be read."""
    if b"content-length" not in headers:
        if b"transfer-encoding" not in headers:
            return Body(EMPTY_DIGEST, 0)
    digest = hashlib.blake2b(digest_size=8)
    size = 0
    remaining = None
    if deadline != float("inf"):
        remaining = deadline - time.monotonic()
    try:
        async with asyncio.timeout(remaining):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    return "broken_upload"
                digest.update(message["body"])
                size += len(message["body"])
                if not message.get("more_body"):
                    return Body(digest.hexdigest(), size)
    except TimeoutError:
        return "deadline"


async def read_whole_body(receive: Receive) -> bytes:
    """Return the body of a short request as one string of bytes."""
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def wait_until_closed(receive: Receive) -> None:
    """Wait until the connection is closed."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_head(
    send: Send, status: int, size: int, *extra_headers: tuple[bytes, bytes]
) -> None:
    """Send the head of a response with a JSON body of `size` bytes."""
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", b"application/json"),
                (b"content-length", b"%d" % size),
                *extra_headers,
            ],
        }
    )


def body_message(content: bytes, *, more: bool) -> Message:
    """Return an ASGI message with a part of the body."""
    return {"type": "http.response.body", "body": content, "more_body": more}


async def send_json(send: Send, value: object) -> None:
    """Send a complete response with a JSON body."""
    content = encode(value)
    await send_head(send, 200, len(content))
    await send(body_message(content, more=False))


async def send_refusal(
    send: Send, status: int, reason: str, *, started: bool
) -> None:
    """Send a refusal; `started` tells whether the request began to run."""
    content = encode({"refused": reason, "started": started})
    await send_head(
        send,
        status,
        len(content),
        (b"x-refused", reason.encode()),
        (b"x-started", b"1" if started else b"0"),
    )
    await send(body_message(content, more=False))
