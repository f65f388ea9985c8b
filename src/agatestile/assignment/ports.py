"""Interfaces of the coordinator to servers and other hosts."""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from agatestile.assignment import ranges


class Reply(enum.Enum):
    """Outcome of an order to a server.

    An order that is `UNSENT` certainly never reaches the server, as no
    connection could be opened; a `SILENT` one got no answer and may have
    reached it. A `WITHHELD` one was not sent because the store has not
    confirmed the leadership recently, which says nothing of the server.
    """

    DONE = "done"
    FENCED = "fenced"
    REJECTED = "rejected"
    SILENT = "silent"
    UNSENT = "unsent"
    WITHHELD = "withheld"


class OrderResult(typing.NamedTuple):
    """Outcome of an order and the state that a release hands over."""

    reply: Reply
    handover: str | None
    reason: str


class Recipient(typing.NamedTuple):
    """The server instance that an order is meant for.

    Attributes
    ----------
    server_id : str
        Identifier of the server.
    incarnation : int
        Incarnation of the server.
    address : tuple of (str, int)
        IP address and port; another server may use them later.
    """

    server_id: str
    incarnation: int
    address: tuple[str, int]


class SupersedeReply(typing.NamedTuple):
    """Answer of an earlier leader that was superseded.

    Attributes
    ----------
    was_holder : bool
        Whether its process was the leader until now.
    remaining_leases : list of (str, int, float)
        Identifier and incarnation of servers, and for how much longer each
        may hold keys, seconds; empty unless `was_holder`.
    """

    was_holder: bool
    remaining_leases: list[tuple[str, int, float]]


class Hosts(typing.Protocol):
    """Client of the other hosts."""

    async def supersede(self, host: str, epoch: int) -> SupersedeReply | None:
        """Tell a host of a later epoch; return None without an answer."""


class Orders(typing.Protocol):
    """Client of the servers that grants and releases keys."""

    def now(self) -> float:
        """Return the time on the clock of the connections, seconds."""

    def is_connected(self, recipient: Recipient, opened_before: float) -> bool:
        """Return whether a connection is open since a time, seconds."""

    async def connect(self, recipient: Recipient) -> str:
        """Open a connection; return why that failed, if it did.

        It is kept unless an older one is open.
        """

    async def grant(
        self,
        recipient: Recipient,
        key_range: ranges.KeyRange,
        hold: float,
        handover: str | None,
        timeout: float,
        opened_before: float,
    ) -> OrderResult:
        """Grant keys to a server for `hold` seconds.

        The order is sent only over a connection that is open since
        `opened_before`, in seconds on the clock of the connections.
        """

    async def release(
        self,
        recipient: Recipient,
        key_range: ranges.KeyRange,
        timeout: float,
        may_send: typing.Callable[[], bool] = lambda: True,
    ) -> OrderResult:
        """Release keys; answered once the server has finished its requests.

        The order may be repeated over a new connection, if `may_send` returns
        true once that is open.
        """
