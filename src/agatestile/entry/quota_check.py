"""Quota of the tenant of a request, from its arrival to its response."""

from __future__ import annotations

import typing

from agatestile.entry import refusals
from agatestile.limits import quota_fallback
from agatestile.results import codes

if typing.TYPE_CHECKING:
    from agatestile.catalog import tenants as tenants_module
    from agatestile.limits import quotas as quotas_module
    from agatestile.observability import counters


MAX_WAIT_SECONDS = 0.4
"""Longest wait for a token: the longest interval between two reports, and the
time until the second one is answered."""

MAX_WAIT_SHARE = 0.4
"""Largest share of its latency objective that a request waits for a token."""


class GrantWaiter(typing.Protocol):
    """Reports grants of the coordinator."""

    async def wait_granted(self, timeout: float) -> bool:
        """Wait for a grant; return whether one arrived."""


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
        self._is_from_fallback = not admission.number
        self._now = now
        self._admitted_at = now()

    def check(self) -> refusals.RequestRefusal | None:
        """Take another token if this one is too old to send the request.

        The bound on the requests of a window allows for a short time from
        the admission to the sending.
        """
        now = self._now()
        if self._is_from_fallback:
            return None
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


class QuotaCheck:
    """Admits requests within the quotas of their tenants.

    Parameters
    ----------
    quotas : quotas.HostQuotas
        Quotas of this host.
    waiter : GrantWaiter
        Reports grants of the coordinator.
    now : callable
        Clock that includes suspensions, seconds.
    registry : counters.Registry
        Counts admissions and refusals.
    """

    def __init__(
        self,
        quotas: quotas_module.HostQuotas,
        waiter: GrantWaiter,
        now: typing.Callable[[], float],
        registry: counters.Registry,
    ) -> None:
        self._quotas = quotas
        self._waiter = waiter
        self._now = now
        self._registry = registry
        self._fallback = quota_fallback.FallbackBuckets()

    async def admit(
        self,
        tenant: tenants_module.Tenant | None,
        host_count: int,
        objective: float,
    ) -> Ticket | refusals.RequestRefusal | None:
        """Take a token for a request.

        A request waits shortly for a token, which takes less than a repeat by
        its caller.

        Parameters
        ----------
        tenant : tenants.Tenant or None
            Tenant of the request, None without one.
        host_count : int
            Number of hosts.
        objective : float
            Latency objective of the request, seconds.

        Returns
        -------
        Ticket or RequestRefusal or None
            None if no quota applies.
        """
        if tenant is None or tenant.rate <= 0.0:
            return None
        admission = self._quotas.admit(tenant.name, self._now())
        result = "admitted"
        has_share = self._quotas.has_share(tenant.name)
        if admission.wait <= 0.0:
            pass
        elif has_share or self._quotas.is_allocated(self._now()):
            admission = await self._wait(tenant.name, admission, objective)
        elif self._fallback.admit(
            tenant,
            self._quotas.fallback_share(tenant, host_count),
            self._now(),
        ):
            admission = admission._replace(wait=0.0)
            result = "fallback"
        if admission.wait > 0.0:
            self._registry.count("quota_requests_total", result="refused")
            return _refusal(tenant.name, admission.wait)
        self._registry.count("quota_requests_total", result=result)
        return Ticket(self._quotas, tenant.name, admission, self._now)

    async def _wait(
        self,
        tenant: str,
        admission: quotas_module.Admission,
        objective: float,
    ) -> quotas_module.Admission:
        """Take a token as soon as there is one.

        It accrues if the host has a share, or the coordinator grants it.
        """
        longest = MAX_WAIT_SECONDS
        if objective > 0.0:
            longest = min(longest, MAX_WAIT_SHARE * objective)
        deadline = self._now() + longest
        while admission.wait > 0.0:
            left = deadline - self._now()
            if self._quotas.has_share(tenant):
                if admission.wait > left:
                    break
                await self._waiter.wait_granted(admission.wait)
            elif left <= 0.0 or not await self._waiter.wait_granted(left):
                break
            admission = self._quotas.admit(tenant, self._now(), is_repeat=True)
        return admission


def _refusal(tenant: str, wait: float) -> refusals.RequestRefusal:
    return refusals.RequestRefusal(
        codes.ResultCode.QUOTA_EXCEEDED,
        f"tenant {tenant} has no token for {wait:.2f} s",
        wait,
    )
