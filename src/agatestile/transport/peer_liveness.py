"""Whether the peer of a connection that takes no data is still alive.

TCP_USER_TIMEOUT ends a connection whose sent data is not acknowledged, but
also one whose peer acknowledges everything and has no room for more, as a
server that reads an upload slowly.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
import typing

UNACKNOWLEDGED_SECONDS = 2.0
"""Longest time that sent data may stay unacknowledged."""

CHECK_INTERVAL_SECONDS = 0.25

LATE_ACKNOWLEDGEMENT = 1.5
"""Intervals of repeated packets without an acknowledgement after which a peer
is gone. A peer without room acknowledges each packet."""

KEEPALIVE_SECONDS = 1
"""Idle time, and interval, of keep-alive probes. Linux sends none while data
is queued; they serve systems whose TCP_INFO does not tell."""

_TCP_INFO = struct.Struct("8B13I")
"""Start of the `tcp_info` structure of Linux, the same on all machines."""

_QUEUED = struct.Struct("i")


class TcpState(typing.NamedTuple):
    """State of a connection in the kernel.

    Attributes
    ----------
    probe_count : int
        Probes without an answer of a peer that has no room.
    backoff : int
        How often the interval of these probes was doubled.
    retransmission_seconds : float
        Interval after which a packet is sent again, seconds.
    unacknowledged : int
        Packets that were sent and not acknowledged.
    acknowledged_seconds : float
        Time since the last acknowledgement, seconds.
    """

    probe_count: int
    backoff: int
    retransmission_seconds: float
    unacknowledged: int
    acknowledged_seconds: float

    @classmethod
    def from_tcp_info(cls, info: bytes) -> TcpState:
        """Return the state from the value of the socket option TCP_INFO.

        Raises
        ------
        struct.error
            If the value is too short.
        """
        fields = _TCP_INFO.unpack_from(info)
        return cls(
            probe_count=fields[3],
            backoff=fields[4],
            retransmission_seconds=fields[8] / 1e6,
            unacknowledged=fields[12],
            acknowledged_seconds=fields[20] / 1e3,
        )

    @property
    def is_peer_gone(self) -> bool:
        """Whether the peer has left packets unanswered for too long."""
        interval = self.retransmission_seconds
        if not self.unacknowledged:
            if not self.probe_count:
                return False
            interval *= 2**self.backoff
        return self.acknowledged_seconds > max(
            UNACKNOWLEDGED_SECONDS, LATE_ACKNOWLEDGEMENT * interval
        )


class Socket(typing.Protocol):
    """What a transport offers of its socket."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Set an option."""

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return the value of an option."""

    def fileno(self) -> int:
        """Return the file descriptor, negative once it is closed."""


def limit_unacknowledged(raw: Socket) -> None:
    """End a connection whose sent data is not acknowledged in time."""
    milliseconds = int(UNACKNOWLEDGED_SECONDS * 1000)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def queued_bytes(raw: Socket) -> int:
    """Return how much the peer has not acknowledged, bytes."""
    queued = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(_QUEUED.size))
    return int(_QUEUED.unpack(queued)[0])


class PeerWatch:
    """Watches a peer until it has acknowledged a request.

    Parameters
    ----------
    raw : Socket
        Socket of the connection, limited by `limit_unacknowledged`.
    has_unsent : callable
        Returns whether a part of the request is not in the socket yet.
    on_gone : callable
        Called once if the peer is gone.
    """

    def __init__(
        self,
        raw: Socket,
        has_unsent: typing.Callable[[], bool],
        on_gone: typing.Callable[[], None],
    ) -> None:
        self._raw = raw
        self._has_unsent = has_unsent
        self._on_gone = on_gone
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check the peer at intervals in place of the limit."""
        raw = self._raw
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
            (socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
            (socket.TCP_KEEPCNT, 1),
        ):
            raw.setsockopt(socket.IPPROTO_TCP, option, value)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._schedule()

    def stop(self) -> None:
        """Return to the limit on unacknowledged data."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        if self._is_open():
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)
            limit_unacknowledged(self._raw)

    def _is_open(self) -> bool:
        return self._raw.fileno() >= 0

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_SECONDS, self._check
        )

    def _check(self) -> None:
        if not self._is_open():
            self._timer = None
            return
        try:
            if not self._has_unsent() and not queued_bytes(self._raw):
                self.stop()
                return
            info = self._raw.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
            )
            is_gone = TcpState.from_tcp_info(info).is_peer_gone
        except (OSError, struct.error):
            is_gone = False
        if is_gone:
            self._on_gone()
        else:
            self._schedule()
