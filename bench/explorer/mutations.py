"""Mutations that take out one guard each of the rules on who owns keys.

The rules are those of `docs/platform.md`, "Who decides". Measured, seeds
that break the rule without the guard, of all that were played; none does with
it, unless said otherwise. The rows of `recent_confirmation`,
`confirmation_by_read`, `era_of_epochs`, `era_of_leadership`, `era_in_keys` and
`report_delay` were measured since reports count as late; `era_of_epochs` is no
longer found in 85 seeds of `lost_successor`. Those of `lost_server` and
`paused_server`, and what was not found but for `divided_hosts` and
`twice_succeeded`, were measured on 85386a4, whose draws differ a little:

=============================  =====================  ========
guard                          motif                  found
=============================  =====================  ========
`arrival_slack`                `lost_server`          2 of 20
`clock_error`                  `lost_server`          17 of 20
`release_with_new_fence`       all                    3 of 12
`later_incarnation_releases`   all                    1 of 12
`leases_of_predecessor`        all                    1 of 12
`old_connections`              `isolated_leader`      1 of 25
`recent_confirmation`          `isolated_leader`      17 of 25
`confirmation_by_read`         `isolated_leader`      3 of 25
`wait_for_predecessor`         `divided_hosts`        5 of 10
`late_releases`                `paused_server`        14 of 20
`stored_recipients`            `paused_server`        9 of 20
`era_of_epochs`                `restored_store`       2 of 40
`unknown_holders`              `restored_store`       2 of 25
`era_of_leadership`            `restored_store`       2 of 25
`proof_of_owners`              `lost_successor`       8 of 25
`era_in_keys`                  `late_append`          4 of 25
`report_delay`                 `late_reports`         15 of 25
=============================  =====================  ========

Not found: `wait_of_successor` (25 seeds of `quick_successor`),
`leader_lease` (10 of `divided_hosts`), `stored_owed_releases` (12 of
`twice_succeeded`), `new_fences_and_epoch_check` (20 of `suspended_leader`),
`epoch_check` (20 of `revoked_leader`), `slow_arrival_slack` and
`delayed_leases` (20 of `lost_beside_full_link`; the same 3 seeds break the
rule with the guards in place, as five servers are too few to show a full
link), `era_of_reads_and_appends` (20 of `restored_store`, in a first form of
the motif: it takes an append that reaches the expected end by chance;
`assignment/test_eras.py` fails without it). Not to be found by holdings alone,
as they cost keys that nobody serves: `exclusion_of_owing_servers` (12 of
`twice_succeeded`) and `release_check`. `new_fences_at_takeover` alone is
covered by the check of the epoch. `late_records_skipped` costs a leadership
(none of 25 seeds of `late_append`).
"""

from __future__ import annotations

import contextlib
import math
import typing
from unittest import mock

from agatestile.assignment import coordinator
from agatestile.assignment import era_keys
from agatestile.assignment import eras
from agatestile.assignment import grant_sender
from agatestile.assignment import journal
from agatestile.assignment import late_releases
from agatestile.assignment import leases
from agatestile.assignment import moves
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import records
from agatestile.assignment import restoration
from agatestile.node import leadership
from agatestile.node import watchers

if typing.TYPE_CHECKING:
    import collections.abc

    import anyio.abc

    from agatestile.store import port


class Replacement(typing.NamedTuple):
    """An attribute that a mutation replaces."""

    owner: typing.Any
    name: str
    value: typing.Any


async def _release_by_old_fence(
    self: grant_sender.GrantSender,
    recipient: ports.Recipient,
    order: ranges.KeyRange,
    timeout: float,
) -> ports.OrderResult:
    if not self.is_surely_leading():
        return ports.OrderResult(ports.Reply.WITHHELD, None, "")
    old = order._replace(owner=order.owner._replace(fence=1))
    return await self._orders.release(recipient, old, timeout)


async def _release_unchecked(
    self: grant_sender.GrantSender,
    recipient: ports.Recipient,
    order: ranges.KeyRange,
    timeout: float,
) -> ports.OrderResult:
    return await self._orders.release(recipient, order, timeout)


_revoke_source = moves.MoveExecutor._revoke_source


async def _believe_later_incarnation(
    self: moves.MoveExecutor,
    service: str,
    change: ranges.KeyRange,
    epoch: int,
    tasks: anyio.abc.TaskGroup,
) -> moves.Revocation:
    server = self._fleet.registered_server(service, change.source.server_id)
    if server and server.candidate.incarnation > change.source.incarnation:
        return moves.Revocation("released by a later incarnation")
    return await _revoke_source(self, service, change, epoch, tasks)


async def _do_nothing(*_: object) -> None:
    pass


_join = leadership.LeaderElector._join


async def _join_and_confirm(
    self: leadership.LeaderElector,
) -> port.Membership | None:
    started = self._now()
    joined = await _join(self)
    if joined is not None and self._coordinator.epoch:
        self._coordinator.leader_lease.confirm(started)
    return joined


def _always(*_: object) -> bool:
    return True


def _never(*_: object) -> bool:
    return False


def _expired(*_: object) -> float:
    return -math.inf


_exclude = coordinator.Coordinator._exclude_if_unresponsive
_take_over = leases.KeyLeases.take_over


def _take_over_nothing(
    self: leases.KeyLeases, now: float, predecessor: leases.Predecessor
) -> None:
    _take_over(self, now, leases.NO_PREDECESSOR)


def _outlast_nobody(
    self: leases.KeyLeases, now: float, predecessor: leases.Predecessor
) -> None:
    _take_over(self, now, predecessor._replace(renewal_seconds=0.0))


MUTATION_BY_GUARD: dict[str, tuple[Replacement, ...]] = {
    "arrival_slack": (
        Replacement(leases, "ARRIVAL_SLACK_SECONDS", -1.0),
        Replacement(leases, "SLOW_ARRIVAL_SLACK_SECONDS", -1.0),
    ),
    "slow_arrival_slack": (
        Replacement(leases, "SLOW_ARRIVAL_SLACK_SECONDS", 0.3),
    ),
    "clock_error": (Replacement(leases, "MAX_CLOCK_ERROR", -0.5),),
    "release_with_new_fence": (
        Replacement(
            grant_sender.GrantSender, "release", _release_by_old_fence
        ),
    ),
    "later_incarnation_releases": (
        Replacement(
            moves.MoveExecutor, "_revoke_source", _believe_later_incarnation
        ),
    ),
    "old_connections": (
        Replacement(
            grant_sender.GrantSender,
            "_newest_connection",
            lambda *_: math.inf,
        ),
    ),
    "recent_confirmation": (
        Replacement(
            leases.LeaderLease, "is_sure", leases.LeaderLease.is_valid
        ),
    ),
    "wait_of_successor": (
        Replacement(
            coordinator.Coordinator, "_outlast_earlier_leaders", _do_nothing
        ),
    ),
    "confirmation_by_read": (
        Replacement(leadership.LeaderElector, "_join", _join_and_confirm),
        Replacement(coordinator.Coordinator, "confirm", _do_nothing),
    ),
    "leader_lease": (
        Replacement(
            leases.LeaderLease,
            "is_valid",
            lambda self, now: self._confirmed_at > -math.inf,
        ),
    ),
    "wait_for_predecessor": (
        Replacement(leases.KeyLeases, "take_over", _outlast_nobody),
    ),
    "leases_of_predecessor": (
        Replacement(leases.KeyLeases, "take_over", _take_over_nothing),
    ),
    "late_releases": (
        Replacement(late_releases.LateReleases, "_run", _do_nothing),
    ),
    "stored_owed_releases": (
        Replacement(
            records.ServiceServers, "to_owed_releases", lambda _: set()
        ),
    ),
    "stored_recipients": (
        Replacement(records.ServiceServers, "to_recipients", lambda _: []),
    ),
    "exclusion_of_owing_servers": (
        Replacement(
            coordinator.Coordinator,
            "_exclude_if_unresponsive",
            lambda self, candidate, _: _exclude(self, candidate, False),
        ),
    ),
    "new_fences_at_takeover": (
        Replacement(
            leases.FencingTokens,
            "renew_all",
            lambda _, key_map: key_map,
        ),
    ),
    "epoch_check": (
        Replacement(grant_sender.GrantSender, "_is_of_current_epoch", _always),
    ),
    "new_fences_and_epoch_check": (
        Replacement(
            leases.FencingTokens,
            "renew_all",
            lambda _, key_map: key_map,
        ),
        Replacement(grant_sender.GrantSender, "_is_of_current_epoch", _always),
    ),
    "release_check": (
        Replacement(grant_sender.GrantSender, "release", _release_unchecked),
    ),
    "era_of_epochs": (
        Replacement(
            eras,
            "next_epoch",
            lambda leadership, maps, era: leadership.epoch + 1,
        ),
    ),
    "unknown_holders": (
        Replacement(eras, "with_unknown_holders", lambda key_map, *_: key_map),
    ),
    "era_of_reads_and_appends": (
        Replacement(journal.Journal, "_is_of_earlier_era", _never),
        Replacement(coordinator.Coordinator, "_is_withheld", _never),
    ),
    "proof_of_owners": (
        Replacement(restoration.Restoration, "_is_certain", _always),
    ),
    "era_in_keys": (
        Replacement(era_keys.StoredKey, "format", lambda self: self.name),
        Replacement(records, "is_late", _never),
    ),
    "late_records_skipped": (Replacement(records, "is_late", _never),),
    "era_of_leadership": (Replacement(eras, "is_outdated", _never),),
    "report_delay": (
        Replacement(watchers, "LONGEST_REPORT_DELAY_SECONDS", 0.0),
    ),
    "delayed_leases": (
        Replacement(leases.KeyLeases, "delayed_until", _expired),
    ),
}
"""What to replace by the name of the guard that it takes out.

`clock_error` makes the expected clocks faster than real ones, as 2% of a
lease are less than what the checker reports.
"""


@contextlib.contextmanager
def without(guard: str | None) -> collections.abc.Iterator[None]:
    """Take a guard out; None leaves all in place."""
    with contextlib.ExitStack() as stack:
        for one in MUTATION_BY_GUARD[guard] if guard else ():
            stack.enter_context(
                mock.patch.object(one.owner, one.name, one.value)
            )
        yield
