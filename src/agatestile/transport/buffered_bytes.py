"""Limit of what connections to servers keep of unfinished responses."""

from __future__ import annotations

import collections
import typing

MAX_BUFFERED_BYTES = 96 * 1024 * 1024
"""Limit of the incomplete bodies of all responses that share one, bytes, where
the memory of the machine is unknown."""

BUFFERED_MEMORY_SHARE = 0.125
"""Share of the memory of a machine that incomplete bodies may take."""


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

    def discard(self, connection: Receiver) -> None:
        """Count nothing for a connection any more."""
        self.total -= self._size_by_connection.pop(connection, 0)

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
