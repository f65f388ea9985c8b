"""Finds the tenant of a request by its API key.

No function here returns, logs or raises anything that contains a key.
"""

from __future__ import annotations

import typing

from agatestile.entry import freshness
from agatestile.entry import refusals
from agatestile.results import codes

if typing.TYPE_CHECKING:
    from agatestile.catalog import configuration
    from agatestile.catalog import tenants as tenants_module
    from agatestile.node import settings

_CODES = codes.ResultCode


def identify(
    tenants: tenants_module.Tenants | None,
    route: configuration.Route,
    api_keys: tuple[bytes, ...],
    configuration_age: float,
    bounds: settings.Bounds,
) -> tenants_module.Tenant | None | refusals.RequestRefusal:
    """Return the tenant of a request, None if it needs none, or a refusal.

    Parameters
    ----------
    tenants : tenants.Tenants or None
        Tenants of the configuration in force, None if callers need no key.
    route : configuration.Route
        Route of the request.
    api_keys : tuple of bytes
        API keys that the request carries.
    configuration_age : float
        Time since the configuration was certainly the newest one, seconds.
    bounds : settings.Bounds
        Bounds agreed with the users.
    """
    if tenants is None or route.is_public:
        return None
    if len(api_keys) > 1:
        return refusals.RequestRefusal(
            _CODES.BAD_REQUEST,
            f"the request carries {len(api_keys)} API keys",
        )
    if freshness.may_miss_revocation(configuration_age, bounds):
        return refusals.RequestRefusal(
            _CODES.CONFIGURATION_OUTDATED,
            "API keys may have been revoked since the configuration was"
            f" confirmed {configuration_age:.1f} s ago",
            freshness.RETRY_AFTER,
        )
    key = api_keys[0] if api_keys else None
    tenant = None if key is None else tenants.by_key.get(key)
    if tenant is None:
        return _refuse_unknown(tenants, key, configuration_age, bounds)
    if tenant.invalid_reason:
        return refusals.invalid_entry(
            f"tenant {tenant.name}", tenant.invalid_reason
        )
    return tenant


def effective_priority(
    route: configuration.Route, tenant: tenants_module.Tenant | None
) -> int:
    """Return the priority of a request; 0 is the highest.

    Parameters
    ----------
    route : configuration.Route
        Route of the request.
    tenant : tenants.Tenant or None
        Tenant of the request, None if it needs none.
    """
    if tenant is None or tenant.priority is None:
        return route.priority
    return tenant.priority


def _refuse_unknown(
    tenants: tenants_module.Tenants,
    key: bytes | None,
    configuration_age: float,
    bounds: settings.Bounds,
) -> refusals.RequestRefusal:
    if key is not None and key in tenants.ambiguous_keys:
        return refusals.invalid_entry(
            "tenants", "the API key belongs to several of them"
        )
    reason = "no API key was sent" if key is None else "the API key is unknown"
    if freshness.is_outdated(configuration_age, bounds):
        return refusals.RequestRefusal(
            _CODES.CONFIGURATION_OUTDATED,
            f"{reason} in a configuration that was confirmed"
            f" {configuration_age:.1f} s ago",
            freshness.RETRY_AFTER,
        )
    if not tenants.is_complete:
        return refusals.invalid_entry(
            "tenants", f"{reason}, and not all of them can be read"
        )
    return refusals.RequestRefusal(_CODES.UNAUTHENTICATED, reason)
