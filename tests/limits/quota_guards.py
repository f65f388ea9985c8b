"""Variants of the quotas without one of the guards of the bound."""

from __future__ import annotations

import typing

import pytest

from agatestile.limits import quota_allocator
from agatestile.limits import quotas
from tests.limits import quota_model

Patch = pytest.MonkeyPatch
HOST = quotas.HostQuotas
BUCKET = quotas.Bucket
ALLOCATOR = quota_allocator.QuotaAllocator
QUOTA = quota_allocator._TenantQuota


def use_shares_after_the_lease(patch: Patch) -> None:
    patch.setattr(HOST, "_expire", lambda self, now: None)


def forget_unknown_hosts(patch: Patch) -> None:
    start = ALLOCATOR.__init__

    def without(self: typing.Any, *arguments: typing.Any) -> None:
        start(self, *arguments)
        self._unknown_hosts = set()

    patch.setattr(ALLOCATOR, "__init__", without)


def ignore_earlier_coordinators(patch: Patch) -> None:
    advance = ALLOCATOR.advance
    patch.setattr(
        ALLOCATOR, "advance", lambda self, _, now: advance(self, True, now)
    )


def store_no_hosts(patch: Patch) -> None:
    async def stored(self: object, epoch: int, hosts: list[str]) -> bool:
        return True

    patch.setattr(quota_model.ModelCoordinator, "store_quota_hosts", stored)


def take_shares_before_the_report(patch: Patch) -> None:
    grant_row = ALLOCATOR._grant_row

    def without(
        self: typing.Any,
        host: str,
        session: typing.Any,
        name: str,
        now: float,
    ) -> quotas.GrantRow | None:
        row = grant_row(self, host, session, name, now)
        if row is not None:
            quota = self._quota(name, now)
            quota.reserve(
                host, row.share, quota.tokens_by_host.get(host, 0), now
            )
        return row

    patch.setattr(ALLOCATOR, "_grant_row", without)


def accept_late_reports(patch: Patch) -> None:
    receive = ALLOCATOR.receive

    def without(
        self: typing.Any, host: str, report: quotas.Report, now: float
    ) -> None:
        session = self._session_by_host.get(host)
        if session is not None and session.process == report.process:
            session.number = report.number - 1
        receive(self, host, report, now)

    patch.setattr(ALLOCATOR, "receive", without)


def assume_that_responses_arrive(patch: Patch) -> None:
    settle_sent = ALLOCATOR._settle_sent
    patch.setattr(
        ALLOCATOR,
        "_settle_sent",
        lambda self, host, session, applied, now: settle_sent(
            self, host, session, session.sent_number, now
        ),
    )


def start_with_full_buckets(patch: Patch) -> None:
    set_share = BUCKET.set_share

    def without(self: typing.Any, share: float, now: float) -> None:
        grown = max(0.0, share - self.share)
        set_share(self, share, now)
        self.tokens += grown * self._burst

    patch.setattr(BUCKET, "set_share", without)


def keep_tokens_of_a_lost_share(patch: Patch) -> None:
    def without(self: typing.Any, share: float, now: float) -> None:
        self.refill(now)
        self.share = share

    patch.setattr(BUCKET, "set_share", without)
    patch.setattr(
        BUCKET,
        "_limit_tokens",
        lambda self: setattr(
            self, "tokens", min(self.tokens, max(self.tokens, self._burst))
        ),
    )


def give_back_any_token(patch: Patch) -> None:
    def without(self: typing.Any, number: int, now: float) -> None:
        self.refill(now)
        self.tokens += 1.0

    patch.setattr(BUCKET, "give_back", without)


def release_silent_hosts_early(patch: Patch) -> None:
    patch.setattr(quota_allocator, "EXPIRY_SECONDS", 3.0)


def apply_late_responses(patch: Patch) -> None:
    apply = HOST.apply

    def without(self: typing.Any, grant: quotas.Grant, now: float) -> bool:
        grant.number = self._number
        grant.epoch = max(grant.epoch, self._epoch)
        return apply(self, grant, now)

    patch.setattr(HOST, "apply", without)
    patch.setattr(
        quota_model.ModelHost, "accepts_late_responses", True, raising=False
    )


def renew_before_earlier_coordinators_stop(patch: Patch) -> None:
    grant = ALLOCATOR.grant

    def without(
        self: typing.Any, host: str, number: int, now: float
    ) -> quotas.Grant | None:
        result = grant(self, host, number, now)
        if result is not None and not result.needs_full:
            result.is_renewed = True
        return result

    patch.setattr(ALLOCATOR, "grant", without)


def start_with_tokens_of_the_coordinator(patch: Patch) -> None:
    def without(self: typing.Any, now: float) -> None:
        self._refilled_at = now
        self.tokens = self.capacity

    patch.setattr(QUOTA, "restart", without)


def ignore_tokens_on_hosts(patch: Patch) -> None:
    patch.setattr(
        QUOTA,
        "_limit_tokens",
        lambda self: setattr(self, "tokens", min(self.tokens, self.capacity)),
    )


def allocate_the_cover_of_tokens(patch: Patch) -> None:
    patch.setattr(
        QUOTA, "allocatable_share", property(lambda self: self.free_share)
    )


DETECTED = [
    use_shares_after_the_lease,
    forget_unknown_hosts,
    ignore_earlier_coordinators,
    store_no_hosts,
    take_shares_before_the_report,
    accept_late_reports,
    assume_that_responses_arrive,
    keep_tokens_of_a_lost_share,
    release_silent_hosts_early,
    apply_late_responses,
    ignore_tokens_on_hosts,
]
"""Variants that random schedules show; tests of modules show the others."""
