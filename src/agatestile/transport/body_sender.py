"""Sends a request without a copy of its body."""

from __future__ import annotations

import asyncio
import typing

from agatestile.transport import peer_liveness

SLICE_BYTES = 256 * 1024
"""Largest part of a body that is handed to the transport at once, bytes. The
transport keeps what the peer does not take."""

JOINED_BYTES = 64 * 1024
"""Largest body that is sent in one write with its head, bytes."""

WATCHED_BYTES = 4 * 1024
"""Size from which a request may not fit in the buffers of a peer that does not
read, bytes."""


class BodySender:
    """Sends a head and a body over a transport as the peer reads them.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport to write to.
    head : bytes
        Encoded head of the request.
    body : bytes or bytearray
        Body of the request, which must not change.
    on_peer_gone : callable
        Called if the peer is lost while the request waits for room there.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        head: bytes,
        body: bytes | bytearray,
        on_peer_gone: typing.Callable[[], None],
    ) -> None:
        self._transport = transport
        self._watch: peer_liveness.PeerWatch | None = None
        raw = transport.get_extra_info("socket")
        if raw is not None and len(head) + len(body) >= WATCHED_BYTES:
            self._watch = peer_liveness.PeerWatch(
                raw, lambda: self.has_unsent, on_peer_gone
            )
        self._is_paused = False
        if len(body) <= JOINED_BYTES:
            head, body = head + body, b""
        self._head = head
        self._body = memoryview(body)

    @property
    def has_unsent(self) -> bool:
        """Whether the system has not taken the whole request yet."""
        return bool(self._body) or bool(
            self._transport.get_write_buffer_size()
        )

    def send(self) -> None:
        """Send the head and as much of the body as the peer takes."""
        if self._watch is not None:
            self._watch.start()
        # The transport keeps it as long as it has to.
        head, self._head = self._head, b""
        self._transport.write(head)
        self._send_body()

    def pause(self) -> None:
        """Send nothing until `resume`."""
        self._is_paused = True

    def resume(self) -> None:
        """Continue with the body."""
        self._is_paused = False
        self._send_body()

    def stop(self) -> None:
        """Send no more of the body."""
        self._is_paused = True
        if self._watch is not None:
            self._watch.stop()

    def _send_body(self) -> None:
        while (
            self._body
            and not self._is_paused
            and not self._transport.is_closing()
        ):
            part, self._body = (
                self._body[:SLICE_BYTES],
                self._body[SLICE_BYTES:],
            )
            self._transport.write(part)
