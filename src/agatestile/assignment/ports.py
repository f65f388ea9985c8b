"""What the coordinator needs of the servers."""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from agatestile.assignment import ranges


class Reply(enum.Enum):
    """Result of an order to a server."""

    DONE = "done"
    FENCED = "fenced"
    REJECTED = "rejected"
    SILENT = "silent"


class OrderResult(typing.NamedTuple):
    """Result of an order with the state that a release hands over."""

    reply: Reply
    handover: str | None
    reason: str


class Orders(typing.Protocol):
    """Gives keys to servers and takes them back."""

    async def grant(
        self,
        address: tuple[str, int],
        key_range: ranges.KeyRange,
        hold: float,
        handover: str | None,
        timeout: float,
    ) -> OrderResult:
        """Let a server work on keys for a time, seconds."""

    async def release(
        self,
        address: tuple[str, int],
        key_range: ranges.KeyRange,
        timeout: float,
    ) -> OrderResult:
        """End a server's hold; answered once its work there has ended."""
