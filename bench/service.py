"""Compares latency, goodput and availability with a plain forwarder.

Usage: python -m bench.service [--only NAME] [--seeds 1,2,3] [--seconds N]

Runs the processes of the Mazowsze deployment on free ports, for one system,
case and seed after another, and prints a Markdown table per measure.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import random
import shlex
import sys
import time
import typing

import uvloop

from bench import balancer
from bench import demo
from bench import http_client
from bench import load
from bench import processes
from bench import service_cases
from bench import service_faults
from bench import spread
from bench import systems
from bench import verdict


class Options(typing.NamedTuple):
    """Options of a run; `seconds` is the duration of each measured load."""

    command: list[str]
    seeds: list[int]
    seconds: float
    case: str


def main() -> None:
    """Run the measures one after another."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = [measure.name for measure in service_cases.MEASURES]
    parser.add_argument("--only", choices=names, action="append")
    parser.add_argument(
        "--case", default="", help="only cases whose names contain this text"
    )
    parser.add_argument("--seeds", default="1,2,3", metavar="N,N")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument(
        "--agatestile",
        metavar="COMMAND",
        default=str(pathlib.Path(sys.executable).with_name("agatestile")),
    )
    arguments = parser.parse_args()
    options = Options(
        shlex.split(arguments.agatestile),
        [int(seed) for seed in arguments.seeds.split(",")],
        arguments.seconds,
        arguments.case,
    )
    try:
        for measure in service_cases.MEASURES:
            if not arguments.only or measure.name in arguments.only:
                print(f"\n{measure.title}\n\n{run(measure, options)}")
    except processes.NotReadyError as error:
        print(f"service: {error}", file=sys.stderr)
        sys.exit(2)


def run(measure: service_cases.Measure, options: Options) -> str:
    """Return the table of one measure."""
    figures_by_row: dict[tuple[str, ...], list[list[float]]] = {}
    cases = [case for case in measure.cases if options.case in case.name]
    for seed in options.seeds:
        for case in cases:
            for name in case.for_systems:
                figures = run_trial(measure, case, name, seed, options)
                rows = figures_by_row.setdefault((case.name, name), [])
                rows.append(figures)
    return spread.table(measure.columns, figures_by_row, ["case", "system"])


def run_trial(
    measure: service_cases.Measure,
    case: service_cases.Case,
    name: str,
    seed: int,
    options: Options,
) -> list[float]:
    """Start a system, send the load during the fault and stop the system."""
    with processes.Processes() as running:
        system = systems.start(
            name, options.command, running, measure.service_ms
        )
        records = uvloop.run(
            _send_load(measure, case, system, seed, options.seconds)
        )
        figures = measure.figures(records, system, options.seconds)
    results = verdict.count_results(records).most_common(6)
    print(
        f"{measure.name}, {case.name}, {name}, seed {seed}:"
        f" {[round(figure, 2) for figure in figures]}, {len(records)}"
        f" requests: {dict(results)}, load average"
        f" {os.getloadavg()[0]:.1f}",
        file=sys.stderr,
        flush=True,
    )
    return figures


async def _send_load(
    measure: service_cases.Measure,
    case: service_cases.Case,
    system: systems.System,
    seed: int,
    seconds: float,
) -> list[load.Record]:
    entry_balancer = balancer.Balancer(system.entry_hosts)
    services = _services(measure, system)
    readiness_task = asyncio.create_task(entry_balancer.poll_readiness())
    await entry_balancer.check_readiness()
    options = demo.Options([], measure.warm_up_rate, seconds, seed)
    warm_up = await demo.warm_up(entry_balancer, services, options)
    trial = service_faults.Trial(
        system,
        seconds,
        random.Random(seed).choice(_probed_owners(warm_up)),
        http_client.Client(),
        # Separate from the choice of the owner, so that both systems get
        # the same faults.
        random.Random(seed),
    )
    for server in system.deployment.servers:
        await trial.control(server.name, reset=True)
    if measure.only_lookups:
        requests = list(load.plan_mixed(services, measure.rate, seconds, seed))
    else:
        requests = demo.plan_load(services, measure.rate, seconds, seed)
    fault_task = asyncio.create_task(case.fault(trial))
    records = await load.run(entry_balancer, requests, time.monotonic())
    await fault_task
    readiness_task.cancel()
    entry_balancer.client.close()
    trial.client.close()
    return records


def _services(
    measure: service_cases.Measure, system: systems.System
) -> list[load.ServiceLoad]:
    services = system.deployment.services()
    if measure.only_lookups:
        services = [
            item for item in services if item.service == systems.SERVICE
        ]
    if measure.even_keys:
        services = [item._replace(zipf=0.0) for item in services]
    return services


def _probed_owners(records: list[load.Record]) -> list[str]:
    return sorted(
        {
            record.owner
            for record in records
            if record.answered
            and record.request.group == load.PROBE
            and record.request.service == systems.SERVICE
        }
    )


if __name__ == "__main__":
    main()
