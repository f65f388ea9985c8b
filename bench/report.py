"""Prints the figures and checks of a trial."""

from __future__ import annotations

import json
import sys
import typing

from bench import load
from bench import verdict

if typing.TYPE_CHECKING:
    import pathlib

    from bench import deployments

SHOWN_CASES = 5


class Trial(typing.NamedTuple):
    """Recorded requests and conditions of a trial.

    Attributes
    ----------
    measured, warm_up : list of Record
        Requests of the measured part and of the warm-up.
    warm_up_seconds : float
        Duration of the warm-up.
    lost : str
        Daemon that was killed halfway through the measured part.
    probe_interval : float
        Interval between probes of a key, seconds.
    """

    measured: list[load.Record]
    warm_up: list[load.Record]
    warm_up_seconds: float
    lost: str
    probe_interval: float


def write_records(path: pathlib.Path, trial: Trial) -> None:
    """Write all requests as JSON, one object per line."""
    with path.open("w", encoding="utf-8") as stream:
        for part in ("warm_up", "measured"):
            for record in getattr(trial, part):
                fields = record.request._asdict() | record._asdict()
                del fields["request"], fields["body"]
                stream.write(json.dumps({"part": part, **fields}) + "\n")


def print_figures(trial: Trial, deployment: deployments.Deployment) -> None:
    """Print the figures of the measured load."""
    records = trial.measured
    print(
        f"{len(records)} requests after a warm-up of"
        f" {trial.warm_up_seconds:.1f} s with {len(trial.warm_up)};"
        f" {trial.lost} killed half-way"
    )
    for result, count in verdict.count_results(records).most_common():
        print(f"  {count:7d}  {result}")
    print("latency of answered requests from intended start:")
    print(f"  {_latencies(records)}  all")
    for service in deployment.repeatable_by_service:
        chosen = [item for item in records if item.request.service == service]
        print(f"  {_latencies(chosen)}  {service}")
    moved, seen = verdict.count_moved_keys(records)
    print(f"keys that changed owner: {moved} of {seen} seen")
    unavailable_by_key = verdict.unavailable_times(records)
    key, longest = max(unavailable_by_key.items(), key=lambda item: item[1])
    print(
        f"longest unavailable time of a key: {longest:.2f} s"
        f" ({'/'.join(key)}; {len(unavailable_by_key)} keys probed every"
        f" {trial.probe_interval} s)"
    )
    totals: dict[str, int] = {}
    for server in deployment.server_reports():
        for name, count in server.counts.items():
            totals[name] = totals.get(name, 0) + count
    counted = ", ".join(f"{name} {totals[name]}" for name in sorted(totals))
    print(f"backend servers counted: {counted}")


def _latencies(records: list[load.Record]) -> str:
    figures = verdict.latencies(records)
    return ", ".join(
        f"p{part:g} {figures.get_value_at_percentile(part) / 1000:7.1f} ms"
        for part in (50, 99, 99.9)
    )


def print_checks(checks: list[verdict.Check]) -> bool:
    """Print the checks and return whether all invariants held."""
    for check in checks:
        word = "BROKEN" if check.broken else "held"
        print(
            f"  {word:6}  {check.name}: {len(check.broken)} of"
            f" {check.checked} cases broken"
        )
        for case in check.broken[:SHOWN_CASES]:
            print(f"            {case}")
    sys.stdout.flush()
    return not any(check.broken for check in checks)
