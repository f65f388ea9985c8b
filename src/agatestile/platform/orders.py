"""Orders to servers: grants and releases of keys."""

from __future__ import annotations

import collections
import typing

import msgspec

from agatestile.assignment import ports
from agatestile.transport import client
from agatestile.transport import client_connection
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.assignment import ranges

RETAINED_HANDOVERS = 16
"""Number of handovers of a server that are kept to recognise copies."""

RETAINED_PEERS = 10_000
"""Number of servers whose handovers are kept."""

MAX_RESPONSE_BYTES = 64 * 1024
"""Largest body of a response to an order, bytes; only its head is used."""

_INSTANCE = b"x-target-instance"
_HANDOVER = b"x-handover"
_REPLIES_BY_STATUS = {200: ports.Reply.DONE, 409: ports.Reply.FENCED}
_REPLIES_BY_FAILURE = {
    messages.FailureKind.NOT_SENT: ports.Reply.UNSENT,
    messages.FailureKind.UNKNOWN: ports.Reply.SILENT,
}


class PlatformOrders:
    """Sends orders to servers over a separate connection pool.

    Parameters
    ----------
    pool : client.Pool
        Connections to servers.
    """

    def __init__(self, pool: client.Pool) -> None:
        self._pool = pool
        self._handovers_by_peer: dict[
            tuple[str, int], collections.deque[str]
        ] = {}

    def now(self) -> float:
        """Return the time on the clock of the connections, seconds."""
        return self._pool.now()

    def is_connected(
        self, recipient: ports.Recipient, opened_before: float
    ) -> bool:
        """Return whether a connection is open since a time, seconds."""
        return self._pool.has_idle(
            _pool_key(recipient),
            max_idle=client_connection.DEFAULT_IDLE_TIMEOUT,
            opened_before=opened_before,
        )

    async def connect(self, recipient: ports.Recipient) -> str:
        """Open a connection and keep it; return why that failed, if it did.

        An older one is kept instead, as it is the first that certainly leads
        to the incarnation that reports next.
        """
        opened = await self._pool.open(recipient.address)
        if isinstance(opened, messages.Failure):
            return opened.reason
        if self.is_connected(recipient, opened.opened_at):
            opened.abort()
        else:
            self._pool.release(_pool_key(recipient), opened)
        return ""

    async def grant(
        self,
        recipient: ports.Recipient,
        key_range: ranges.KeyRange,
        hold: float,
        handover: str | None,
        timeout: float,
        opened_before: float,
    ) -> ports.OrderResult:
        """Grant a key range to a server for a hold time in seconds."""
        fields = _range_fields(key_range)
        fields["holdMs"] = int(hold * 1000)
        if handover:
            fields["handover"] = handover
        return await self._order(
            b"/grant", recipient, fields, timeout, opened_before=opened_before
        )

    async def release(
        self,
        recipient: ports.Recipient,
        key_range: ranges.KeyRange,
        timeout: float,
        may_send: typing.Callable[[], bool] = lambda: True,
    ) -> ports.OrderResult:
        """Release a key range.

        The server responds once its work on the keys has ended. A late copy
        of an earlier response must not stand for this one, as the keys would
        be granted to another server too early. Only a handover that is new
        tells that it is no copy; without one the order is repeated over a
        connection of its own.
        """
        fields = _range_fields(key_range)
        result = await self._order(b"/release", recipient, fields, timeout)
        if result.reply is not ports.Reply.DONE:
            return result
        peer = _pool_key(recipient)
        known = self._handovers_by_peer.pop(peer, None)
        if known is None:
            known = collections.deque(maxlen=RETAINED_HANDOVERS)
        self._handovers_by_peer[peer] = known
        if len(self._handovers_by_peer) > RETAINED_PEERS:
            del self._handovers_by_peer[next(iter(self._handovers_by_peer))]
        if result.handover is None or result.handover in known:
            result = await self._order(
                b"/release",
                recipient,
                fields,
                timeout,
                needs_new_connection=True,
                may_send=may_send,
            )
        if result.handover is not None:
            known.append(result.handover)
        return result

    async def _order(
        self,
        path: bytes,
        recipient: ports.Recipient,
        fields: dict[str, object],
        timeout: float,
        needs_new_connection: bool = False,
        opened_before: float | None = None,
        may_send: typing.Callable[[], bool] | None = None,
    ) -> ports.OrderResult:
        request = messages.Request(
            b"POST",
            path,
            [
                (b"content-type", b"application/json"),
                # Another server may use the address by now.
                (_INSTANCE, recipient.server_id.encode()),
            ],
            msgspec.json.encode(fields),
        )
        response = await self._pool.call(
            recipient.address,
            request,
            timeout,
            _pool_key(recipient),
            needs_new_connection=needs_new_connection,
            opened_before=opened_before,
            may_send=may_send,
            max_body=MAX_RESPONSE_BYTES,
        )
        if isinstance(response, messages.Failure):
            reply = _REPLIES_BY_FAILURE[response.kind]
            return ports.OrderResult(reply, None, response.reason)
        reply = _REPLIES_BY_STATUS.get(response.status, ports.Reply.REJECTED)
        handover = response.header(_HANDOVER)
        return ports.OrderResult(
            reply,
            None if handover is None else handover.decode("latin-1"),
            f"status {response.status}",
        )


def _pool_key(recipient: ports.Recipient) -> tuple[str, int]:
    return recipient.server_id, recipient.incarnation


def _range_fields(key_range: ranges.KeyRange) -> dict[str, object]:
    return {
        # Both bounds are inclusive.
        "from": key_range.first,
        "to": key_range.last,
        # The fencing token.
        "fence": key_range.owner.fence,
    }
