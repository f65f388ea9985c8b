"""Client for calls to another daemon."""

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
    """Calls one peer over one connection, one call at a time.

    A call that fails or times out closes the connection, so that a late
    reply is never taken for the reply to a later call.

    Parameters
    ----------
    host, port : str, int
        Address of the peer.
    timeout : float
        Longest duration of a call, seconds, including the wait for earlier
        calls.
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
        """Create a client for an address of the form ``host:port``."""
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
        call_body = codec.encode_call(method, arguments)
        try:
            with anyio.fail_after(self._timeout):
                async with self._lock:
                    reply_body = await self._exchange(call_body)
            return codec.decode_reply(method, reply_body)
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

    async def _exchange(self, call_body: bytes) -> bytes:
        is_complete = False
        try:
            if self._stream is None or self._receiver is None:
                self._stream = await anyio.connect_tcp(self._host, self._port)
                self._receiver = buffered.BufferedByteReceiveStream(
                    self._stream
                )
            await self._stream.send(codec.add_frame_header(call_body))
            header = await self._receiver.receive_exactly(
                codec.FRAME_HEADER.size
            )
            (size,) = codec.FRAME_HEADER.unpack(header)
            reply_body = await self._receiver.receive_exactly(size)
            is_complete = True
            return reply_body
        finally:
            if not is_complete:
                await self.close()

    async def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        stream, self._stream, self._receiver = self._stream, None, None
        if stream is not None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
