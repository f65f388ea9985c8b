"""Admission while no coordinator allocates the quotas of tenants.

Answers the loss of the coordinator: hosts that have nothing of a tenant would
refuse all of its requests until the next one knows what every host has.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from agatestile.catalog import tenants as tenants_module

USED_FRACTION = 0.8
"""Fraction of a quota that all hosts together admit in this way. Hosts that
still have shares of the quota use those at the same time."""

MIN_CAPACITY = 1.0
"""Smallest capacity of a bucket; a smaller one would never admit."""


class _Bucket(typing.NamedTuple):
    tokens: float
    refilled_at: float


class FallbackBuckets:
    """Parts of the quotas of tenants on one host."""

    def __init__(self) -> None:
        self._bucket_by_tenant: dict[str, _Bucket] = {}

    def admit(
        self, tenant: tenants_module.Tenant, share: float, now: float
    ) -> bool:
        """Take a token of this host's part; return whether there was one.

        Parameters
        ----------
        tenant : tenants.Tenant
            The tenant.
        share : float
            Share of the quota, 0 to 1.
        now : float
            Clock that includes suspensions, seconds.
        """
        part = USED_FRACTION * share
        capacity = max(MIN_CAPACITY, part * tenant.burst)
        bucket = self._bucket_by_tenant.get(tenant.name)
        if bucket is None:
            bucket = _Bucket(capacity, now)
        accrued = max(0.0, now - bucket.refilled_at) * part * tenant.rate
        tokens = min(capacity, bucket.tokens + accrued)
        is_admitted = tokens >= 1.0
        self._bucket_by_tenant[tenant.name] = _Bucket(
            tokens - 1.0 if is_admitted else tokens, now
        )
        return is_admitted
