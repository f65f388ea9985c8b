"""Figures of recorded requests and checks of the invariants."""

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
    """Counters of a stand-in server, as GET /executions returns them."""

    name: str
    slots: int
    highest_running: int
    highest_offered: int
    counts: dict[str, int]
    executions: dict[str, int]


class Check(typing.NamedTuple):
    """Result of checking one invariant.

    Attributes
    ----------
    name : str
        Statement that must hold.
    checked : int
        Number of cases examined.
    broken : list of str
        Descriptions of the cases that violate it.
    """

    name: str
    checked: int
    broken: list[str]


def latencies(records: Iterable[load.Record]) -> histogram.HdrHistogram:
    """Return a histogram of the latencies of answered requests, in us."""
    result = histogram.HdrHistogram(1, HIGHEST_LATENCY_US, 3)
    for record in records:
        if record.answered:
            microseconds = max(1, int(record.latency * 1e6))
            result.record_value(min(microseconds, HIGHEST_LATENCY_US))
    return result


def count_results(
    records: Iterable[load.Record],
) -> collections.Counter[str]:
    """Count requests by result code, or by failure if there is none."""
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

    The time runs from the intended start of the first failed request to
    the end of the next answered one, so it includes the probe interval.
    """
    by_key = _group_by_key(
        record for record in records if record.request.group == load.PROBE
    )
    return {key: _longest_outage(items) for key, items in by_key.items()}


def count_moved_keys(records: Iterable[load.Record]) -> tuple[int, int]:
    """Return the number of keys that changed owner and of all keys seen."""
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
    """Check the invariants on the requests of a trial.

    Parameters
    ----------
    records : list of Record
        All requests of the trial.
    servers : list of ServerReport
        Counters of the servers since their start.
    violations_by_host : mapping
        Violations that each daemon counted, by the name of the invariant;
        None for a daemon that returned no status.
    repeatable_by_service : mapping of str to str
        Column of the services table: "always", "safe" or "never".
    """
    executions: collections.Counter[str] = collections.Counter()
    for server in servers:
        executions.update(server.executions)
    return [
        _check_complete(records),
        _check_single_execution(records, executions, repeatable_by_service),
        _check_refused(records, executions),
        Check(
            "concurrent work of a server within its slots",
            len(servers),
            [
                f"{item.name}: {item.highest_running} running and"
                f" {item.highest_offered} offered for {item.slots} slots"
                for item in servers
                if max(item.highest_running, item.highest_offered) > item.slots
            ],
        ),
        Check(
            "no violations counted by the daemons",
            len(violations_by_host),
            [
                f"{host}: {'no status' if counts is None else dict(counts)}"
                for host, counts in violations_by_host.items()
                if counts is None or any(counts.values())
            ],
        ),
    ]


def _check_complete(records: list[load.Record]) -> Check:
    answered = [record for record in records if record.answered]
    return Check(
        "complete response to the request that was sent",
        len(answered),
        [
            f"{record.request.number}: {record.wrong}"
            for record in answered
            if record.wrong
        ],
    )


def _check_single_execution(
    records: list[load.Record],
    executions: Mapping[str, int],
    repeatable_by_service: Mapping[str, str],
) -> Check:
    limited = [
        record
        for record in records
        if not _may_repeat(
            record.request, repeatable_by_service[record.request.service]
        )
    ]
    return Check(
        "requests not safe to repeat executed at most once",
        len(limited),
        [
            f"{record.request.number}: {executions[record.request.number]}"
            f" executions, {record.attempts} attempts"
            for record in limited
            if executions.get(record.request.number, 0) > 1
        ],
    )


def _may_repeat(request: load.Request, repeatable: str) -> bool:
    if repeatable == "safe":
        return request.method == "GET"
    return repeatable == "always"


def _check_refused(
    records: list[load.Record], executions: Mapping[str, int]
) -> Check:
    # "not-run" describes the last attempt only: after a first attempt
    # without a response, that one may have been executed.
    refused = [
        record
        for record in records
        if record.run == "not-run" and record.attempts == 1
    ]
    return Check(
        "requests refused as not run were not executed",
        len(refused),
        [
            f"{record.request.number}: code {record.code}"
            for record in refused
            if executions.get(record.request.number, 0)
        ],
    )


def _group_by_key(
    records: Iterable[load.Record],
) -> dict[tuple[str, str], list[load.Record]]:
    by_key: dict[tuple[str, str], list[load.Record]] = {}
    for record in records:
        key = record.request.service, record.request.key
        by_key.setdefault(key, []).append(record)
    return by_key


def _longest_outage(records: list[load.Record]) -> float:
    longest = 0.0
    failed_at: float | None = None
    for record in sorted(records, key=lambda item: item.request.start):
        if record.answered:
            if failed_at is not None:
                longest = max(longest, record.finished - failed_at)
            failed_at = None
            continue
        if failed_at is None:
            failed_at = record.request.start
        longest = max(longest, record.finished - failed_at)
    return longest
