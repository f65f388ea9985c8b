"""Frames of the thrift binary protocol, kept in memory."""

from __future__ import annotations

import struct
import typing

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from agatestile.rpc.generated.agatestile_rpc import Peer

HEADER = struct.Struct("!I")
MAX_FRAME_BYTES = 64 * 1024 * 1024

_FACTORY = TBinaryProtocol.TBinaryProtocolAcceleratedFactory()


def frame(body: bytes) -> bytes:
    """Return a body with its length in front."""
    return HEADER.pack(len(body)) + body


def encode_call(method: str, arguments: tuple[typing.Any, ...]) -> bytes:
    """Return the body of a call.

    Parameters
    ----------
    method : str
        Name of a method of the Peer service.
    arguments : tuple
        Its arguments, thrift structs or plain values.
    """
    buffer = TTransport.TMemoryBuffer()
    client = Peer.Client(_FACTORY.getProtocol(buffer))
    getattr(client, f"send_{method}")(*arguments)
    return typing.cast(bytes, buffer.getvalue())


def decode_reply(method: str, body: bytes) -> typing.Any:
    """Return the result that a reply carries.

    Raises
    ------
    thrift.Thrift.TException
        If the reply reports a fault of the peer, or is not a reply.
    """
    buffer = TTransport.TMemoryBuffer(body)
    client = Peer.Client(_FACTORY.getProtocol(buffer))
    return getattr(client, f"recv_{method}")()


def process_call(processor: Peer.Processor, body: bytes) -> bytes:
    """Run the call in a body and return the body of its reply."""
    request = _FACTORY.getProtocol(TTransport.TMemoryBuffer(body))
    buffer = TTransport.TMemoryBuffer()
    processor.process(request, _FACTORY.getProtocol(buffer))
    return typing.cast(bytes, buffer.getvalue())
