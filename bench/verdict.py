"""Figures of a load and checks of the invariants on it."""

from __future__ import annotations

import collections
import typing

from hdrh import histogram

from agatestile.results import codes
from bench import load

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

HIGHEST_LATENCY_US = 60_000_000


class ServerReport(typing.NamedTuple):
    """What a stand-in server counted; see GET /executions."""

    name: str
    slots: int
    highest_running: int
    highest_offered: int
    counts: dict[str, int]
    executions: dict[str, int]


class Check(typing.NamedTuple):
    """One invariant.

    Attributes
    ----------
    name : str
        What must hold.
    checked : int
        How many cases were looked at.
    broken : list of str
        The cases in which it did not hold.
    """

    name: str
    checked: int
    broken: list[str]


def latencies(records: Iterable[load.Record]) -> histogram.HdrHistogram:
    """Return the latencies of answered requests, microseconds."""
    result = histogram.HdrHistogram(1, HIGHEST_LATENCY_US, 3)
    for record in records:
        if record.answered:
            microseconds = max(1, int(record.latency * 1e6))
            result.record_value(min(microseconds, HIGHEST_LATENCY_US))
    return result


def count_results(
    records: Iterable[load.Record],
) -> collections.Counter[str]:
    """Count requests by result code, or by failure without one."""
    counts: collections.Counter[str] = collections.Counter()
    for record in records:
        if record.failure:
            counts[f"no answer ({record.failure})"] += 1
        elif record.code < 0:
            counts[f"HTTP {record.status} without a code"] += 1
        elif record.code == 0:
            counts[f"0 ANSWERED (HTTP {record.status})"] += 1
        else:
            name = codes.ResultCode(record.code).name
            counts[f"{record.code} {name}"] += 1
    return counts


def unavailable_times(
    records: Iterable[load.Record],
) -> dict[tuple[str, str], float]:
    """Return the longest unavailable time of each probed key, seconds.

    It runs from the intended start of the first request that failed to the
    end of the next one that was answered, so the probes' interval is part
    of it.
    """
    by_key = _by_key(
        record for record in records if record.request.group == load.PROBE
    )
    return {key: _longest_gap(items) for key, items in by_key.items()}


def count_moved_keys(records: Iterable[load.Record]) -> tuple[int, int]:
    """Return how many keys changed their owner, and how many were seen."""
    owners_by_key: dict[tuple[str, str], set[str]] = {}
    for record in records:
        if record.answered and record.owner:
            key = record.request.service, record.request.key
            owners_by_key.setdefault(key, set()).add(record.owner)
    moved = sum(len(owners) > 1 for owners in owners_by_key.values())
    return moved, len(owners_by_key)


def check(
    records: list[load.Record],
    servers: list[ServerReport],
    violations_by_host: Mapping[str, Mapping[str, int] | None],
    repeatable_by_service: Mapping[str, str],
) -> list[Check]:
    """Check the invariants.

    Parameters
    ----------
    records : list of Record
        All requests of the trial.
    servers : list of ServerReport
        The servers' own counts since their start.
    violations_by_host : mapping
        Violations that each daemon counted by the name of the invariant,
        None if a daemon did not tell.
    repeatable_by_service : mapping of str to str
        As in the services table: "always", "safe" or "never".
    """
    executions: collections.Counter[str] = collections.Counter()
    for server in servers:
        executions.update(server.executions)
    return [
        _check_whole(records),
        _check_once(records, executions, repeatable_by_service),
        _check_not_run(records, executions),
        Check(
            "work at a server within its slots",
            len(servers),
            [
                f"{item.name}: {item.highest_running} at work and"
                f" {item.highest_offered} offered for {item.slots} slots"
                for item in servers
                if max(item.highest_running, item.highest_offered) > item.slots
            ],
        ),
        Check(
            "no violation counted by a daemon",
            len(violations_by_host),
            [
                f"{host}: {'no status' if found is None else dict(found)}"
                for host, found in violations_by_host.items()
                if found is None or any(found.values())
            ],
        ),
    ]


def _check_whole(records: list[load.Record]) -> Check:
    answered = [record for record in records if record.answered]
    return Check(
        "whole answer to the own request",
        len(answered),
        [
            f"{record.request.number}: {record.wrong}"
            for record in answered
            if record.wrong
        ],
    )


def _check_once(
    records: list[load.Record],
    executions: Mapping[str, int],
    repeatable_by_service: Mapping[str, str],
) -> Check:
    once = [
        record
        for record in records
        if not _may_repeat(
            record.request, repeatable_by_service[record.request.service]
        )
    ]
    return Check(
        "requests not safe to repeat run at most once",
        len(once),
        [
            f"{record.request.number}: {executions[record.request.number]}"
            f" executions, {record.attempts} attempts"
            for record in once
            if executions.get(record.request.number, 0) > 1
        ],
    )


def _may_repeat(request: load.Request, repeatable: str) -> bool:
    if repeatable == "safe":
        return request.method == "GET"
    return repeatable == "always"


def _check_not_run(
    records: list[load.Record], executions: Mapping[str, int]
) -> Check:
    # After a first attempt without an answer, "not run" speaks only of the
    # second, and the first may have run.
    refused = [
        record
        for record in records
        if record.run == "not-run" and record.attempts == 1
    ]
    return Check(
        "requests refused as not run did not run",
        len(refused),
        [
            f"{record.request.number}: code {record.code}"
            for record in refused
            if executions.get(record.request.number, 0)
        ],
    )


def _by_key(
    records: Iterable[load.Record],
) -> dict[tuple[str, str], list[load.Record]]:
    by_key: dict[tuple[str, str], list[load.Record]] = {}
    for record in records:
        key = record.request.service, record.request.key
        by_key.setdefault(key, []).append(record)
    return by_key


def _longest_gap(records: list[load.Record]) -> float:
    longest = 0.0
    lost_at: float | None = None
    for record in sorted(records, key=lambda item: item.request.start):
        if record.answered:
            if lost_at is not None:
                longest = max(longest, record.finished - lost_at)
            lost_at = None
            continue
        if lost_at is None:
            lost_at = record.request.start
        longest = max(longest, record.finished - lost_at)
    return longest
