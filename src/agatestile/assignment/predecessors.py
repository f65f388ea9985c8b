"""What a new leader learns of the leader before it."""

from __future__ import annotations

import typing

from agatestile.assignment import leases

if typing.TYPE_CHECKING:
    from agatestile.assignment import ports
    from agatestile.assignment import records

SETTLING_SECONDS = leases.LEADER_LEASE_SECONDS + leases.GRANT_TIMEOUT_SECONDS
"""Time after which no earlier leader renews grants any longer."""

UNKNOWN = leases.Predecessor(None, SETTLING_SECONDS, False)
"""A leader that may still renew grants."""


async def query(
    hosts: ports.Hosts, previous: records.Leadership, own: records.Leadership
) -> leases.Predecessor:
    """Return what is known of the grants of the previous leader.

    Parameters
    ----------
    hosts : ports.Hosts
        Sends messages to earlier leaders.
    previous : records.Leadership
        The leadership that was stored before.
    own : records.Leadership
        The leadership of this host.
    """
    if not previous.epoch:
        return leases.NO_PREDECESSOR
    if previous.is_resigned:
        return leases.Predecessor(
            previous.remaining_leases, 0.0, previous.is_settled
        )
    ended = leases.Predecessor(None, leases.GRANT_TIMEOUT_SECONDS, True)
    if not previous.is_settled:
        # A leader before the previous one may still renew grants.
        ended = UNKNOWN
    if previous.host == own.host:
        # An earlier process of this host, which has ended.
        return ended
    reply = await hosts.supersede(previous.host, own.epoch)
    if reply is None:
        return UNKNOWN
    if reply.was_holder:
        return leases.Predecessor(
            reply.remaining_leases, 0.0, previous.is_settled
        )
    return ended
