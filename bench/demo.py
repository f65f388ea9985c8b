"""Runs both deployments under load while one daemon is lost.

Usage: python -m bench.demo --agatestile COMMAND

Starts the stand-ins and five daemons per deployment as processes, applies
the services table, sends mixed load, kills one daemon in the middle and
checks the invariants. The exit status is 1 if one was broken and 2 if the
deployment did not start.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import shlex
import sys
import time
import typing

import uvloop

from bench import balancer
from bench import deployments
from bench import load
from bench import processes
from bench import verdict

PROBED_KEYS = 16
PROBE_INTERVAL = 0.2
WARM_UP_LIMIT = 20.0
SETTLE_SECONDS = 6.0
SHOWN = 5


class Options(typing.NamedTuple):
    """What to run.

    Attributes
    ----------
    command : list of str
        How to call agatestile.
    rate : float
        Mixed requests a second, besides the probes.
    seconds : float
        Length of the measured load.
    seed : int
        Seed of the load and of the choice of the lost daemon.
    keep : bool
        Keep the processes' output and a list of all requests.
    """

    command: list[str]
    rate: float
    seconds: float
    seed: int
    keep: bool = False


class Trial(typing.NamedTuple):
    """What was recorded; `measured` leaves out the warm-up."""

    measured: list[load.Record]
    warm_up: list[load.Record]
    warm_up_seconds: float
    lost: str


async def send_load(
    deployment: deployments.Deployment,
    running: processes.Processes,
    options: Options,
) -> Trial:
    """Warm the servers up, then send load and kill a daemon half-way."""
    spread = balancer.Balancer(deployment.entry_hosts())
    services = deployment.services()
    lost = deployment.hosts[options.seed % len(deployment.hosts)]
    watch = asyncio.create_task(spread.watch())
    await spread.look()
    started = time.monotonic()
    warm_up = await _warm_up(spread, services, options)
    took = time.monotonic() - started

    async def lose() -> None:
        await asyncio.sleep(options.seconds / 2)
        running.kill(lost)

    loss = asyncio.create_task(lose())
    measured = await load.run(
        spread,
        _plan(services, options.rate, options.seconds, options.seed),
        time.monotonic(),
    )
    await loss
    watch.cancel()
    spread.client.close()
    return Trial(measured, warm_up, took, lost)


async def _warm_up(
    spread: balancer.Balancer,
    services: list[load.ServiceLoad],
    options: Options,
) -> list[load.Record]:
    """Probe until all probed keys are answered, then raise the load."""
    records: list[load.Record] = []
    seed = options.seed + 1_000_000
    end = time.monotonic() + WARM_UP_LIMIT
    while time.monotonic() < end:
        probes = list(load.plan_probes(services, PROBED_KEYS, 1.0, 1.0, seed))
        probes.sort(key=lambda request: request.start)
        latest = await load.run(spread, probes, time.monotonic())
        records += latest
        seed += 1
        if all(record.answered for record in latest):
            break
    for part in (0.1, 0.3, 0.6):
        seed += 1
        records += await load.run(
            spread,
            _plan(services, options.rate * part, SETTLE_SECONDS / 3, seed),
            time.monotonic(),
        )
    return records


def _plan(
    services: list[load.ServiceLoad], rate: float, seconds: float, seed: int
) -> list[load.Request]:
    requests = [
        *load.plan_mixed(services, rate, seconds, seed),
        *load.plan_probes(
            services, PROBED_KEYS, PROBE_INTERVAL, seconds, seed
        ),
    ]
    return sorted(requests, key=lambda request: request.start)


def run_deployment(name: str, options: Options) -> bool:
    """Run one deployment; tell whether all invariants held."""
    with processes.Processes() as running:
        deployment = deployments.Deployment(name, options.command, running)
        print(f"== {name}")
        start = time.monotonic()
        deployment.start_platform()
        for host in deployment.hosts:
            deployment.start_daemon(host)
        deployment.wait_for_admin()
        deployment.apply_table()
        deployment.wait_ready()
        print(
            f"{len(deployment.servers)} backend servers and"
            f" {len(deployment.hosts)} daemons, ready after"
            f" {time.monotonic() - start:.1f} s",
            flush=True,
        )
        trial = uvloop.run(send_load(deployment, running, options))
        checks = _check(deployment, running, trial)
        _print_figures(trial, deployment)
        held = _print_checks(checks)
        running.keep_output = options.keep or not held
        if running.keep_output:
            _write_records(running.directory / "requests.jsonl", trial)
        return held


def _check(
    deployment: deployments.Deployment,
    running: processes.Processes,
    trial: Trial,
) -> list[verdict.Check]:
    survivors = [host for host in deployment.hosts if host != trial.lost]
    checks = verdict.check(
        trial.warm_up + trial.measured,
        deployment.server_reports(),
        {host: deployment.violations(host) for host in survivors},
        deployment.repeatable_by_service,
    )
    ended = running.ended()
    statuses = running.stop(*survivors)
    checks.append(
        verdict.Check(
            "daemons run until SIGTERM and then end by themselves",
            len(survivors),
            [f"{name}: ended early" for name in ended]
            + [
                f"{name}: status {status}"
                for name, status in statuses.items()
                if status
            ],
        )
    )
    return checks


def _write_records(path: pathlib.Path, trial: Trial) -> None:
    with path.open("w", encoding="utf-8") as stream:
        for part in ("warm_up", "measured"):
            for record in getattr(trial, part):
                fields = record.request._asdict() | record._asdict()
                del fields["request"], fields["body"]
                stream.write(json.dumps({"part": part, **fields}) + "\n")


def _print_figures(trial: Trial, deployment: deployments.Deployment) -> None:
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
    moved, seen = verdict.moved_keys(records)
    print(f"keys that changed owner: {moved} of {seen} seen")
    gaps = verdict.unavailable(records)
    key, longest = max(gaps.items(), key=lambda item: item[1])
    print(
        f"longest unavailable time of a key: {longest:.2f} s"
        f" ({'/'.join(key)}; {len(gaps)} keys probed every"
        f" {PROBE_INTERVAL} s)"
    )
    totals: dict[str, int] = {}
    for report in deployment.server_reports():
        for name, count in report.counts.items():
            totals[name] = totals.get(name, 0) + count
    listed = ", ".join(f"{name} {totals[name]}" for name in sorted(totals))
    print(f"backend servers counted: {listed}")


def _latencies(records: list[load.Record]) -> str:
    figures = verdict.latencies(records)
    return ", ".join(
        f"p{part:g} {figures.get_value_at_percentile(part) / 1000:7.1f} ms"
        for part in (50, 99, 99.9)
    )


def _print_checks(checks: list[verdict.Check]) -> bool:
    for check in checks:
        word = "BROKEN" if check.broken else "held"
        print(
            f"  {word:6}  {check.name}: {len(check.broken)} of"
            f" {check.checked} cases broken"
        )
        for case in check.broken[:SHOWN]:
            print(f"            {case}")
    sys.stdout.flush()
    return not any(check.broken for check in checks)


def main() -> None:
    """Run the deployments one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--agatestile", required=True, metavar="COMMAND")
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--deployment", choices=deployments.NAMES, action="append"
    )
    parser.add_argument(
        "--keep",
        action="store_true",
        help="keep the processes' output and a list of all requests",
    )
    given = parser.parse_args()
    options = Options(
        shlex.split(given.agatestile),
        given.rate,
        given.seconds,
        given.seed,
        given.keep,
    )
    try:
        held = [
            run_deployment(name, options)
            for name in given.deployment or deployments.NAMES
        ]
    except processes.NotReadyError as error:
        print(f"demo: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
