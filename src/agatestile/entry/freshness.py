"""Whether a host's configuration is recent enough for a decision."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from agatestile.node import settings

MARGIN_SECONDS = 0.3
"""Time before the bound on changes of the configuration from which the one in
force counts as outdated: the transfer of a report between hosts."""

REVOKE_MARGIN_SECONDS = 0.6
"""Time before the bound on revocations from which a key may have been
revoked: a request that was just admitted may take `client.CONNECT_TIMEOUT`
(0.5 s) to connect to its server, and then has to be sent."""

RETRY_AFTER = 0.2
"""Retry-after time until a newer configuration is read, seconds."""


def is_outdated(age: float, bounds: settings.Bounds) -> bool:
    """Return whether a newer configuration may have to be in force.

    Parameters
    ----------
    age : float
        Time since the configuration was certainly the newest one, seconds.
    bounds : settings.Bounds
        Bounds agreed with the users.
    """
    return age > bounds.configuration - MARGIN_SECONDS


def may_miss_revocation(age: float, bounds: settings.Bounds) -> bool:
    """Return whether a key may be in use that has to be out of use by now.

    Parameters
    ----------
    age : float
        Time since the configuration was certainly the newest one, seconds.
    bounds : settings.Bounds
        Bounds agreed with the users.
    """
    return bounds.strict_revoke and age > bounds.revoke - REVOKE_MARGIN_SECONDS
