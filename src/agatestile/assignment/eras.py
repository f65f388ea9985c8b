"""Decisions of a leader whose store was restored from an older copy."""

from __future__ import annotations

import typing

from agatestile.assignment import era_keys
from agatestile.assignment import leases
from agatestile.assignment import ranges
from agatestile.assignment import records

EPOCHS_PER_ERA = 1000
"""Epochs that are skipped for each era: more than a store can lose in the
seconds since its copy, as a leadership lasts half a second at least."""

UNKNOWN_HOST = "unknown"
"""Stands in the list of hosts that may use quotas for those that were listed
after the copy. It never reports, so that their leases are waited for."""


def successor(
    stored: records.Leadership,
    maps: dict[str, ranges.RangeMap],
    era: int,
    host: str,
) -> records.Leadership:
    """Return the leadership that follows the stored one.

    Parameters
    ----------
    stored : records.Leadership
        Stored leadership.
    maps : dict of str to ranges.RangeMap
        Range maps by service that are stored beside it.
    era : int
        Current era of the store.
    host : str
        Control address of the new leader.
    """
    quota_hosts = list(stored.quota_hosts)
    if is_outdated(stored, era):
        quota_hosts.append(UNKNOWN_HOST)
        # The state counts as written in this era once it has been.
        written_era = stored.era
    else:
        written_era = era
    return records.Leadership(
        next_epoch(stored, maps, era),
        host,
        era=written_era,
        quota_hosts=quota_hosts,
    )


def next_epoch(
    leadership: records.Leadership,
    maps: dict[str, ranges.RangeMap],
    era: int,
) -> int:
    """Return an epoch that no leader has used.

    Parameters
    ----------
    leadership : records.Leadership
        Newest leadership that is known.
    maps : dict of str to ranges.RangeMap
        Range maps by service that are stored beside it.
    era : int
        Current era of the store.
    """
    eras_passed = max(0, era - leadership.era)
    epoch = leadership.epoch + 1 + EPOCHS_PER_ERA * eras_passed
    if not eras_passed:
        return epoch
    # An append that was delayed into a later era may have replaced a newer
    # leadership; the maps beside it have newer tokens.
    tokens = [
        key_range.owner.fence
        for key_map in maps.values()
        for key_range in key_map.ranges
    ]
    newest = leases.FencingTokens.epoch_of(max(tokens, default=0))
    return max(epoch, newest + 1)


def is_outdated(leadership: records.Leadership, era: int) -> bool:
    """Return whether what is stored may be older than what was granted."""
    if not leadership.epoch and era <= era_keys.FIRST_ERA:
        # A new store; in a later era the copy may lack the first leadership.
        return False
    return leadership.era < era


def with_unknown_holders(
    key_map: ranges.RangeMap,
    is_certain: typing.Callable[[ranges.KeyRange], bool] = lambda _: False,
) -> ranges.RangeMap:
    """Return a map in which any server may hold keys that are not certain.

    Owners remain, and get their keys once the leases of others have ended.
    """
    return ranges.RangeMap(
        [
            one if is_certain(one) else one._replace(source=ranges.UNKNOWN)
            for one in key_map.ranges
        ]
    )
