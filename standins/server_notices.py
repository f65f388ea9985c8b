"""Checks that hosts heed what servers say of themselves in responses."""

from __future__ import annotations

import collections
import math
import typing

LIMIT_WINDOW_SECONDS = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
"""Requests that a server with a rate limit may get in addition to the ratio
within a window."""

LIMIT_GRACE_SECONDS = 3.0
"""Time after the first response with a limit from which the limit binds."""

LIMIT_NOTICE_SECONDS = 0.5
"""Time after a response with a limit from which its host counts."""

PAUSE_GRACE_SECONDS = 0.5
"""Time after a response that asks for a pause from which the pause binds."""

PAUSE_SLACK = 2
"""Requests that may arrive during a pause."""


class Arrival(typing.NamedTuple):
    """A request that arrived at a server, and what the server answered.

    Attributes
    ----------
    server, host : str
        Server, and host that sent the request.
    sent_at : float
        Time at which the caller sent the request, seconds.
    arrived_at, answered_at : float
        Times at the server, seconds.
    rate_limit : float or None
        Limit that the response named, requests per second.
    pause : float or None
        Pause that the response asked for, seconds.
    is_leaving : bool
        Whether the response said that the server leaves.
    """

    server: str
    host: str
    sent_at: float
    arrived_at: float
    answered_at: float
    rate_limit: float | None = None
    pause: float | None = None
    is_leaving: bool = False


class Disruption(typing.NamedTuple):
    """A restart, freeze or cut of a host, which excuses it.

    Attributes
    ----------
    host : str
        The host.
    start, end : float
        Time of the disruption, seconds.
    """

    host: str
    start: float
    end: float


def violations(
    arrivals: list[Arrival],
    disruptions: list[Disruption],
    drain: float,
    removed_at_by_server: dict[str, float] | None = None,
) -> list[str]:
    """Return what hosts did not heed.

    Parameters
    ----------
    arrivals : list of Arrival
        Requests of all servers in order of their arrival.
    disruptions : list of Disruption
        Disruptions of hosts.
    drain : float
        Time after which a leaving server gets no requests, seconds.
    removed_at_by_server : dict of str to float, optional
        When the entry of a server was removed from service discovery, seconds.
    """
    found = []
    removed_at_by_server = removed_at_by_server or {}
    by_server = collections.defaultdict(list)
    for arrival in arrivals:
        by_server[arrival.server].append(arrival)
    for server, at_server in by_server.items():
        found += _limit_violations(at_server, disruptions)
        if server in removed_at_by_server:
            found += _late_requests(
                at_server, disruptions, removed_at_by_server[server] + drain
            )
        by_host = collections.defaultdict(list)
        for arrival in at_server:
            by_host[arrival.host].append(arrival)
        for of_host in by_host.values():
            found += _pause_violations(of_host, disruptions)
            found += _departure_violations(of_host, disruptions, drain)
    return found


def _limit_violations(
    arrivals: list[Arrival], disruptions: list[Disruption]
) -> list[str]:
    named_at = [one.answered_at for one in arrivals if one.rate_limit]
    if not named_at:
        return []
    told_at: dict[str, float] = {}
    for one in arrivals:
        if one.rate_limit:
            told_at.setdefault(one.host, one.answered_at)
    binds_at = min(named_at) + LIMIT_GRACE_SECONDS
    last_named_at = max(named_at)
    for last in arrivals:
        end = last.arrived_at
        start = end - LIMIT_WINDOW_SECONDS
        if start < binds_at or end > last_named_at:
            continue
        window = [
            one
            for one in arrivals
            if start < one.arrived_at <= end
            and one.host in told_at
            and told_at[one.host] + LIMIT_NOTICE_SECONDS <= one.arrived_at
            and not _is_excused(
                one.host, start - LIMIT_GRACE_SECONDS, end, disruptions
            )
        ]
        limits = [one.rate_limit for one in window if one.rate_limit]
        if not limits:
            continue
        allowed = LIMIT_WINDOW_SECONDS * LIMIT_RATIO * max(limits)
        allowed += LIMIT_SLACK
        if len(window) > allowed:
            return [
                f"{last.server} got {len(window)} requests in"
                f" {LIMIT_WINDOW_SECONDS:g} s until {end:.2f}, allowed"
                f" {allowed:.1f}"
            ]
    return []


def _pause_violations(
    arrivals: list[Arrival], disruptions: list[Disruption]
) -> list[str]:
    for asked in arrivals:
        if asked.pause is None:
            continue
        start = asked.answered_at + PAUSE_GRACE_SECONDS
        end = asked.answered_at + asked.pause
        during = [one for one in arrivals if start < one.arrived_at < end]
        if len(during) > PAUSE_SLACK and not _is_excused(
            asked.host, asked.answered_at, end, disruptions
        ):
            return [
                f"{asked.server} got {len(during)} requests from {asked.host}"
                f" during a pause of {asked.pause:g} s from"
                f" {asked.answered_at:.2f} on"
            ]
    return []


def _departure_violations(
    arrivals: list[Arrival], disruptions: list[Disruption], drain: float
) -> list[str]:
    told_at = [one.answered_at for one in arrivals if one.is_leaving]
    if not told_at:
        return []
    first = min(told_at)
    return _late_requests(arrivals, disruptions, first + drain, first)


def _late_requests(
    arrivals: list[Arrival],
    disruptions: list[Disruption],
    bound: float,
    excused_since: float = math.inf,
) -> list[str]:
    """Return the first request that was sent after the bound, if any.

    Parameters
    ----------
    arrivals : list of Arrival
        Requests at one server in order of their arrival.
    disruptions : list of Disruption
        Disruptions of hosts.
    bound : float
        Time after which the server gets no requests, seconds.
    excused_since : float, optional
        Time from which a disruption excuses a host, if that is before the
        request, seconds.
    """
    for one in arrivals:
        start = min(excused_since, one.sent_at)
        if one.sent_at > bound and not _is_excused(
            one.host, start, one.arrived_at, disruptions
        ):
            return [
                f"{one.server} got a request from {one.host} that was sent"
                f" {one.sent_at - bound:.2f} s after the bound on its"
                " departure"
            ]
    return []


def _is_excused(
    host: str, start: float, end: float, disruptions: list[Disruption]
) -> bool:
    return any(
        one.host == host and one.start <= end and one.end >= start
        for one in disruptions
    )
