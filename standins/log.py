"""Stand-in for the platform's append-only log, section 14.1 of docs/design.md.

``POST /control`` takes a JSON object with any of these keys:

- ``outage``: if true, all calls on streams get status 503;
- ``delay_ms``: delay before each call takes effect, milliseconds;
- ``lose_answers``: number of following appends that take effect but whose
  connection is closed without a response;
- ``retention``: number of records that a stream keeps, 0 for all.
"""

from __future__ import annotations

import urllib.parse

import anyio
import click
import msgspec

from standins import serving

_MAX_BATCH_RECORDS = 1000
"""Largest number of records in the response to a read."""


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """Simulated faults, as set by ``POST /control``."""

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    retention: int = 0


class Stream:
    """A stream of records.

    Attributes
    ----------
    first : int
        Offset of the oldest retained record.
    bodies : list of bytes
        Retained records, in order.
    """

    def __init__(self) -> None:
        self.first = 0
        self.bodies: list[bytes] = []
        self.appended = anyio.Event()

    @property
    def tail(self) -> int:
        """Offset of the next record to be appended."""
        return self.first + len(self.bodies)

    def append(self, body: bytes) -> int:
        """Add a record and wake the readers that wait for it."""
        offset = self.tail
        self.bodies.append(body)
        event, self.appended = self.appended, anyio.Event()
        event.set()
        return offset

    def retain(self, count: int) -> None:
        """Delete all but the last `count` records; 0 keeps all."""
        surplus = len(self.bodies) - count
        if count and surplus > 0:
            del self.bodies[:surplus]
            self.first += surplus

    def read(self, start: int, limit: int) -> list[tuple[int, bytes]]:
        """Return records with offsets from `start` or the oldest one on."""
        start = max(start, self.first)
        index = start - self.first
        return list(enumerate(self.bodies[index : index + limit], start))


class Log:
    """ASGI application of the log, with all streams in memory."""

    def __init__(self) -> None:
        self.control = Control()
        self.streams_by_name: dict[str, Stream] = {}

    def stream(self, name: str) -> Stream:
        """Return a stream, created on first use."""
        return self.streams_by_name.setdefault(name, Stream())

    async def __call__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Handle one request."""
        method, parts = scope["method"], scope["path"].strip("/").split("/")
        if (method, parts) == ("POST", ["control"]):
            await self._set_control(receive, send)
            return
        if len(parts) != 3 or (parts[0], parts[2]) != ("streams", "records"):
            await _send_json(
                send, 404, {"error": f"unknown path {scope['path']}"}
            )
            return
        body = await serving.read_body(receive)
        await anyio.sleep(self.control.delay_ms / 1000)
        if self.control.outage:
            await _send_json(send, 503, {"error": "outage"})
        elif method == "POST":
            await self._append(scope, send, self.stream(parts[1]), body)
        elif method == "GET":
            await self._read(scope, send, self.stream(parts[1]))
        else:
            await _send_json(
                send, 405, {"error": f"method {method} is not allowed"}
            )

    async def _set_control(
        self, receive: serving.Receive, send: serving.Send
    ) -> None:
        body = await serving.read_body(receive)
        try:
            changes = msgspec.json.decode(body, type=dict[str, bool | int])
            self.control = msgspec.convert(
                msgspec.to_builtins(self.control) | changes,
                Control,
                strict=False,
            )
        except msgspec.MsgspecError as error:
            await _send_json(send, 400, {"error": str(error)})
            return
        for stream in self.streams_by_name.values():
            stream.retain(self.control.retention)
        await _send_json(send, 200, self.control)

    async def _append(
        self,
        scope: serving.Scope,
        send: serving.Send,
        stream: Stream,
        body: bytes,
    ) -> None:
        offset = stream.append(body)
        stream.retain(self.control.retention)
        if self.control.lose_answers > 0:
            self.control.lose_answers -= 1
            scope["extensions"]["abort"]()
            return
        await _send_json(send, 201, {"offset": offset})

    async def _read(
        self, scope: serving.Scope, send: serving.Send, stream: Stream
    ) -> None:
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        try:
            start = int(query.get("start", ["0"])[0])
            wait = int(query.get("wait_ms", ["0"])[0]) / 1000
            limit = int(query.get("limit", [str(_MAX_BATCH_RECORDS)])[0])
        except ValueError as error:
            await _send_json(send, 400, {"error": str(error)})
            return
        with anyio.move_on_after(wait):
            while stream.tail <= start:
                await stream.appended.wait()
        if self.control.outage:
            await _send_json(send, 503, {"error": "outage"})
            return
        batch = {
            "first": stream.first,
            "tail": stream.tail,
            "records": stream.read(start, min(limit, _MAX_BATCH_RECORDS)),
        }
        await serving.send_response(
            send,
            200,
            msgspec.msgpack.encode(batch),
            b"application/msgpack",
        )


async def _send_json(send: serving.Send, status: int, value: object) -> None:
    await serving.send_response(
        send, status, msgspec.json.encode(value), b"application/json"
    )


@click.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, required=True, help="0 for a free port")
def main(host: str, port: int) -> None:
    """Serve the log and print its port."""
    serving.run(Log(), host, port)


if __name__ == "__main__":
    main()
