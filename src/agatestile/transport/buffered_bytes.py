"""Limit of what connections to servers keep of unfinished responses."""

from __future__ import annotations

import collections
import functools
import typing

MAX_BUFFERED_BYTES = 96 * 1024 * 1024
"""Limit of the incomplete bodies of all responses that share one, bytes, where
the memory of the machine is unknown."""

BUFFERED_MEMORY_SHARE = 0.125
"""Share of the memory of a machine that incomplete bodies may take."""

RESERVABLE_SHARE = 0.75
"""Share of the limit that bodies may reserve. The rest is for bodies of
unknown size, and for what arrives of a body before it waits."""

RECEIVE_BUFFER_BYTES = 256 * 1024
"""Largest amount that is read from a connection at once, bytes."""


class Receiver(typing.Protocol):
    """A connection that receives a response.

    Attributes
    ----------
    peer : hashable
        Peer whose connections are counted together.
    """

    peer: typing.Hashable

    def fail(self, reason: str) -> None:
        """End the current response."""

    def on_room(self) -> None:
        """Receive a body that has waited."""


class BufferedBytes:
    """Limits the incomplete bodies of the responses of several connections.

    Parameters
    ----------
    limit : int, optional
        Limit of the bodies together, bytes; `MAX_BUFFERED_BYTES` by default.

    Attributes
    ----------
    total : int
        Bytes of the bodies.
    """

    def __init__(self, limit: int | None = None) -> None:
        self.limit = MAX_BUFFERED_BYTES if limit is None else limit
        self.total = 0
        self._size_by_connection: dict[Receiver, int] = {}
        self._reserved = 0
        self._reserved_by_connection: dict[Receiver, int] = {}
        self._size_by_waiting: dict[Receiver, int] = {}

    @functools.cached_property
    def receive_buffer(self) -> memoryview:
        """Buffer that all connections of an event loop read into."""
        return memoryview(bytearray(RECEIVE_BUFFER_BYTES))

    @classmethod
    def from_memory(cls, memory: int | None) -> BufferedBytes:
        """Create the limit for a machine.

        Parameters
        ----------
        memory : int or None
            Memory of the machine, bytes; None if unknown.
        """
        if memory is None:
            return cls()
        return cls(int(memory * BUFFERED_MEMORY_SHARE))

    def add(self, connection: Receiver, size: int) -> None:
        """Count `size` bytes that a connection keeps.

        Beyond the limit the largest body fails of the peer whose bodies are
        the largest together, so that faulty servers don't end the responses
        of others.
        """
        sizes = self._size_by_connection
        sizes[connection] = sizes.get(connection, 0) + size
        self.total += size
        while self.total > self.limit:
            self._find_largest().fail(
                f"responses exceed {self.limit} bytes in all"
            )

    def reserve(self, connection: Receiver, size: int) -> bool:
        """Reserve room for a body, or let it wait.

        Parameters
        ----------
        connection : Receiver
            The connection, which is told when there is room.
        size : int
            Size of the body, bytes.

        Returns
        -------
        bool
            Whether there is room now.
        """
        if self._size_by_waiting or not self._fits(size):
            self._size_by_waiting[connection] = size
            return False
        self._take(connection, size)
        return True

    def discard(self, connection: Receiver) -> None:
        """Count nothing for a connection any more."""
        self.total -= self._size_by_connection.pop(connection, 0)
        self._reserved -= self._reserved_by_connection.pop(connection, 0)
        self._size_by_waiting.pop(connection, None)
        for waiting, size in list(self._size_by_waiting.items()):
            if not self._fits(size):
                break
            if self._size_by_waiting.pop(waiting, None) is not None:
                self._take(waiting, size)
                waiting.on_room()

    def _fits(self, size: int) -> bool:
        reservable = self.limit * RESERVABLE_SHARE
        return not self._reserved or self._reserved + size <= reservable

    def _take(self, connection: Receiver, size: int) -> None:
        self._reserved += size
        self._reserved_by_connection[connection] = size

    def _find_largest(self) -> Receiver:
        sizes = self._size_by_connection
        size_by_peer: collections.Counter[typing.Hashable] = (
            collections.Counter()
        )
        for connection, size in sizes.items():
            size_by_peer[connection.peer] += size
        return max(
            sizes,
            key=lambda connection: (
                size_by_peer[connection.peer],
                sizes[connection],
            ),
        )
