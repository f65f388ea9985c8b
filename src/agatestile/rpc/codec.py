"""Encodes and decodes calls in frames of the thrift binary protocol."""

from __future__ import annotations

import struct
import typing

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from agatestile.rpc.generated.agatestile_rpc import Peer

FRAME_HEADER = struct.Struct("!I")
MAX_FRAME_BYTES = 64 * 1024 * 1024

_PROTOCOL_FACTORY = TBinaryProtocol.TBinaryProtocolAcceleratedFactory()


def add_frame_header(body: bytes) -> bytes:
    """Return a body preceded by its length."""
    return FRAME_HEADER.pack(len(body)) + body


def encode_call(method: str, arguments: tuple[typing.Any, ...]) -> bytes:
    """Encode a call and return its body.

    Parameters
    ----------
    method : str
        Name of a method of the Peer service.
    arguments : tuple
        Arguments of the method, thrift structs or plain values.
    """
    buffer = TTransport.TMemoryBuffer()
    client = Peer.Client(_PROTOCOL_FACTORY.getProtocol(buffer))
    getattr(client, f"send_{method}")(*arguments)
    return typing.cast(bytes, buffer.getvalue())


def decode_reply(method: str, body: bytes) -> typing.Any:
    """Decode the body of a reply and return the result of the call.

    Raises
    ------
    thrift.Thrift.TException
        If the reply reports an error of the peer, or is malformed.
    """
    buffer = TTransport.TMemoryBuffer(body)
    client = Peer.Client(_PROTOCOL_FACTORY.getProtocol(buffer))
    return getattr(client, f"recv_{method}")()


def process_call(processor: Peer.Processor, body: bytes) -> bytes:
    """Run the call encoded in a body and return the body of its reply."""
    call = _PROTOCOL_FACTORY.getProtocol(TTransport.TMemoryBuffer(body))
    buffer = TTransport.TMemoryBuffer()
    processor.process(call, _PROTOCOL_FACTORY.getProtocol(buffer))
    return typing.cast(bytes, buffer.getvalue())
