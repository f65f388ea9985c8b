"""What the coordinator needs of the servers."""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from agatestile.assignment import ranges


class Reply(enum.Enum):
    """Result of an order to a server.

    An order that is `UNSENT` surely never reaches the server, as no
    connection could be opened; a `SILENT` one may have reached it.
    """

    DONE = "done"
    FENCED = "fenced"
    REJECTED = "rejected"
    SILENT = "silent"
    UNSENT = "unsent"


class OrderResult(typing.NamedTuple):
    """Result of an order with the state that a release hands over."""

    reply: Reply
    handover: str | None
    reason: str


class Recipient(typing.NamedTuple):
    """The life of a server that an order is meant for.

    Attributes
    ----------
    server_id : str
        Identifier of the server.
    incarnation : int
        Its start.
    address : tuple of (str, int)
        Where it listens; another server may use the address later.
    """

    server_id: str
    incarnation: int
    address: tuple[str, int]


class SupersedeReply(typing.NamedTuple):
    """What an earlier leader answered.

    Attributes
    ----------
    was_holder : bool
        Whether its process led until now.
    remaining_leases : list of (str, int, float)
        Of a holder: identifier and incarnation of servers, and for how
        much longer each may hold keys, seconds.
    """

    was_holder: bool
    remaining_leases: list[tuple[str, int, float]]


class Hosts(typing.Protocol):
    """Other hosts."""

    async def supersede(self, host: str, epoch: int) -> SupersedeReply | None:
        """Tell a host that it lost the leadership; None without an answer."""


class Orders(typing.Protocol):
    """Gives keys to servers and takes them back."""

    def is_connected(self, recipient: Recipient) -> bool:
        """Tell whether a connection to this life of the server is open."""

    async def unreachable_reason(self, recipient: Recipient) -> str:
        """Return why no connection can be opened, empty if one can."""

    async def grant(
        self,
        recipient: Recipient,
        key_range: ranges.KeyRange,
        hold: float,
        handover: str | None,
        timeout: float,
    ) -> OrderResult:
        """Let a server work on keys for a time, seconds."""

    async def release(
        self,
        recipient: Recipient,
        key_range: ranges.KeyRange,
        timeout: float,
    ) -> OrderResult:
        """End a server's hold; answered once its work there has ended."""
