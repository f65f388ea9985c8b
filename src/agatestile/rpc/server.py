"""Server for calls from other daemons."""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.abc
from anyio.streams import buffered
from thrift import Thrift

from agatestile.rpc import codec
from agatestile.rpc.generated.agatestile_rpc import Peer

LOG = logging.getLogger(__name__)


class PeerServer:
    """Serves the Peer service on one address.

    Parameters
    ----------
    handler : object
        Implements ``Peer.Iface``. Its methods return without awaiting, so
        calls are answered in the order of their arrival.
    """

    def __init__(self, handler: Peer.Iface) -> None:
        self._processor = Peer.Processor(handler)

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; report the port once listening."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        async with listener:
            address = listener.extra(anyio.abc.SocketAttribute.local_address)
            task_status.started(int(typing.cast(typing.Any, address[1])))
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        receiver = buffered.BufferedByteReceiveStream(stream)
        async with stream:
            try:
                while True:
                    header = await receiver.receive_exactly(
                        codec.FRAME_HEADER.size
                    )
                    (size,) = codec.FRAME_HEADER.unpack(header)
                    if size > codec.MAX_FRAME_BYTES:
                        LOG.warning("rpc: rejected a frame of %d bytes", size)
                        return
                    body = await receiver.receive_exactly(size)
                    reply = codec.process_call(self._processor, body)
                    if reply:
                        await stream.send(codec.add_frame_header(reply))
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                anyio.EndOfStream,
                anyio.IncompleteRead,
            ):
                return
            except (Thrift.TException, EOFError, ValueError) as error:
                LOG.warning("rpc: malformed call: %s", error)
