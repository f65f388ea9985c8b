"""Minimal HTTP/1.1 server and client for the stand-ins of this review."""

import asyncio


class Request:
    """A request as it was read."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    def get(self, name, default=None):
        """Return the last value of a header."""
        for key, value in reversed(self.headers):
            if key == name:
                return value
        return default


async def read_head(reader):
    """Return the first line and the headers; None at the end of input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    fields = dict(headers)
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def encode(status, headers, body=b""):
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """Listens and passes each request to a handler.

    The handler returns (status, headers, body); None closes the connection
    without a response.
    """

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()

    async def start(self, host, port):
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 22, backlog=512
        )

    async def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body)
                answer = await self._handler(request)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(encode(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # The run has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, target, headers=(), body=b"", timeout=3.0):
    """Send a request over a new connection; return (status, headers, body).

    None without a complete response.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method != "GET":
                lines.append(f"content-length: {len(body)}")
            lines += ["", ""]
            writer.write("\r\n".join(lines).encode() + body)
            head = await read_head(reader)
            if head is None:
                return None
            received = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), head[1], received
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
