"""What a new leader finds out about the previous one."""

from __future__ import annotations

import typing

from agatestile.assignment import leases

if typing.TYPE_CHECKING:
    from agatestile.assignment import ports
    from agatestile.assignment import records

SETTLING_SECONDS = leases.LEADER_LEASE_SECONDS + leases.GRANT_TIMEOUT_SECONDS
"""Time after which no earlier leader renews grants any longer."""


async def query(
    hosts: ports.Hosts,
    address: str,
    previous: records.Leadership,
    epoch: int,
) -> leases.Predecessor:
    """Return what is known of the grants of the previous leader.

    Parameters
    ----------
    hosts : ports.Hosts
        Sends messages to earlier leaders.
    address : str
        Control address of the new leader.
    previous : records.Leadership
        Stored leadership of the previous leader.
    epoch : int
        Epoch of the new leader.
    """
    if not previous.epoch:
        return leases.NO_PREDECESSOR
    if previous.is_resigned:
        return leases.Predecessor(
            previous.remaining_leases, 0.0, previous.is_settled
        )
    ended = leases.Predecessor(None, leases.GRANT_TIMEOUT_SECONDS, True)
    unknown = leases.Predecessor(None, SETTLING_SECONDS, False)
    if not previous.is_settled:
        # A leader before the previous one may still renew grants.
        ended = unknown
    if previous.host == address:
        # An earlier process of this host, which has ended.
        return ended
    reply = await hosts.supersede(previous.host, epoch)
    if reply is None:
        return unknown
    if reply.was_holder:
        return leases.Predecessor(
            reply.remaining_leases, 0.0, previous.is_settled
        )
    return ended
