"""Calls to another daemon."""

from __future__ import annotations

import typing

import anyio
import anyio.abc
from anyio.streams import buffered
from thrift import Thrift

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc import codec


class PeerClient:
    """Client of one peer over one connection, one call at a time.

    A call that fails or times out closes the connection, so that a late
    reply can never be taken for the reply of a later call.

    Parameters
    ----------
    host, port : str, int
        Address of the peer.
    timeout : float
        Longest time for one call, seconds.
    """

    def __init__(self, host: str, port: int, timeout: float) -> None:
        self._host = host
        self._port = port
        self._timeout = timeout
        self._lock = anyio.Lock()
        self._stream: anyio.abc.SocketStream | None = None
        self._receiver: buffered.BufferedByteReceiveStream | None = None

    @classmethod
    def from_address(cls, address: str, timeout: float) -> PeerClient:
        """Make a client for an address in the form ``host:port``."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port), timeout)

    async def call(
        self, method: str, *arguments: typing.Any
    ) -> typing.Any | outcomes.Refusal:
        """Call a method of the Peer service.

        Returns
        -------
        object or Refusal
            The result, or ``SERVER_UNREACHABLE`` with the reason.
        """
        body = codec.encode_call(method, arguments)
        try:
            with anyio.fail_after(self._timeout):
                async with self._lock:
                    reply = await self._exchange(body)
            return codec.decode_reply(method, reply)
        except (
            TimeoutError,
            OSError,
            EOFError,
            Thrift.TException,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
        ) as error:
            return outcomes.Refusal(
                codes.ResultCode.SERVER_UNREACHABLE,
                f"peer {self._host}:{self._port}: "
                f"{type(error).__name__} {error}".rstrip(),
            )

    async def _exchange(self, body: bytes) -> bytes:
        completed = False
        try:
            if self._stream is None or self._receiver is None:
                self._stream = await anyio.connect_tcp(self._host, self._port)
                self._receiver = buffered.BufferedByteReceiveStream(
                    self._stream
                )
            await self._stream.send(codec.frame(body))
            header = await self._receiver.receive_exactly(codec.HEADER.size)
            (size,) = codec.HEADER.unpack(header)
            reply = await self._receiver.receive_exactly(size)
            completed = True
            return reply
        finally:
            if not completed:
                await self.close()

    async def close(self) -> None:
        """Close the connection; the next call opens another."""
        stream, self._stream, self._receiver = self._stream, None, None
        if stream is not None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
