"""Quota of the tenant of a request, from its arrival to its response."""

from __future__ import annotations

import typing

from agatestile.entry import refusals
from agatestile.results import codes

if typing.TYPE_CHECKING:
    from agatestile.catalog import tenants as tenants_module
    from agatestile.limits import quotas as quotas_module
    from agatestile.observability import counters


class Ticket:
    """Token of one request.

    Parameters
    ----------
    quotas : quotas.HostQuotas
        Quotas of this host.
    tenant : str
        Name of the tenant.
    admission : quotas.Admission
        The token.
    now : callable
        Clock that includes suspensions, seconds.
    """

    def __init__(
        self,
        quotas: quotas_module.HostQuotas,
        tenant: str,
        admission: quotas_module.Admission,
        now: typing.Callable[[], float],
    ) -> None:
        self._quotas = quotas
        self._tenant = tenant
        self._number = admission.number
        self._now = now
        self._admitted_at = now()

    def check(self) -> refusals.RequestRefusal | None:
        """Take another token if this one is too old to send the request.

        The bound on the requests of a window allows for a short time from
        the admission to the sending.
        """
        now = self._now()
        if now <= self._admitted_at + self._quotas.limits.send_delay:
            return None
        self.give_back()
        admission = self._quotas.admit(self._tenant, now)
        if admission.wait > 0.0:
            return _refusal(self._tenant, admission.wait)
        self._number = admission.number
        self._admitted_at = now
        return None

    def give_back(self) -> None:
        """Return the token, as the request did not run."""
        self._quotas.give_back(self._tenant, self._number, self._now())
        self._number = 0

    def finish(self) -> None:
        """Keep the token unless it was given back."""
        self._quotas.finish(self._tenant, self._number)
        self._number = 0


def admit(
    quotas: quotas_module.HostQuotas | None,
    tenant: tenants_module.Tenant | None,
    now: typing.Callable[[], float],
    registry: counters.Registry,
) -> Ticket | refusals.RequestRefusal | None:
    """Take a token for a request.

    Parameters
    ----------
    quotas : quotas.HostQuotas or None
        Quotas of this host.
    tenant : tenants.Tenant or None
        Tenant of the request, None without one.
    now : callable
        Clock that includes suspensions, seconds.
    registry : counters.Registry
        Counts admissions and refusals.

    Returns
    -------
    Ticket or RequestRefusal or None
        None if no quota applies.
    """
    if quotas is None or tenant is None or tenant.rate <= 0.0:
        return None
    admission = quotas.admit(tenant.name, now())
    if admission.wait > 0.0:
        registry.count("quota_requests_total", result="refused")
        return _refusal(tenant.name, admission.wait)
    registry.count("quota_requests_total", result="admitted")
    return Ticket(quotas, tenant.name, admission, now)


def _refusal(tenant: str, wait: float) -> refusals.RequestRefusal:
    return refusals.RequestRefusal(
        codes.ResultCode.QUOTA_EXCEEDED,
        f"tenant {tenant} has no token for {wait:.2f} s",
        wait,
    )
