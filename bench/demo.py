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
import shlex
import sys
import time
import typing

import uvloop

from bench import balancer
from bench import deployments
from bench import load
from bench import processes
from bench import report
from bench import verdict

PROBED_KEYS = 16
PROBE_INTERVAL = 0.2
WARM_UP_LIMIT = 20.0
SETTLE_SECONDS = 6.0


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
    free_ports : bool
        Use free ports in place of the committed ones.
    """

    command: list[str]
    rate: float
    seconds: float
    seed: int
    keep: bool = False
    free_ports: bool = False


async def send_load(
    deployment: deployments.Deployment,
    running: processes.Processes,
    options: Options,
) -> report.Trial:
    """Warm the servers up, then send load and kill a daemon half-way."""
    spread = balancer.Balancer(deployment.entry_hosts())
    services = deployment.services()
    lost = deployment.hosts[options.seed % len(deployment.hosts)]
    watch = asyncio.create_task(spread.poll_readiness())
    await spread.check_readiness()
    started = time.monotonic()
    warmed = await warm_up(spread, services, options)
    took = time.monotonic() - started

    async def lose() -> None:
        await asyncio.sleep(options.seconds / 2)
        running.kill(lost)

    loss = asyncio.create_task(lose())
    measured = await load.run(
        spread,
        plan_load(services, options.rate, options.seconds, options.seed),
        time.monotonic(),
    )
    await loss
    watch.cancel()
    spread.client.close()
    return report.Trial(measured, warmed, took, lost, PROBE_INTERVAL)


async def warm_up(
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
            plan_load(services, options.rate * part, SETTLE_SECONDS / 3, seed),
            time.monotonic(),
        )
    return records


def plan_load(
    services: list[load.ServiceLoad], rate: float, seconds: float, seed: int
) -> list[load.Request]:
    """Plan mixed requests and the probes of some keys of each service."""
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
        deployment = deployments.Deployment(
            name, options.command, running, options.free_ports
        )
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
        report.print_figures(trial, deployment)
        held = report.print_checks(checks)
        running.keep_output = options.keep or not held
        if running.keep_output:
            report.write_records(running.directory / "requests.jsonl", trial)
        return held


def _check(
    deployment: deployments.Deployment,
    running: processes.Processes,
    trial: report.Trial,
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
    parser.add_argument(
        "--free-ports",
        action="store_true",
        help="use free ports, to run beside other trials",
    )
    given = parser.parse_args()
    options = Options(
        shlex.split(given.agatestile),
        given.rate,
        given.seconds,
        given.seed,
        given.keep,
        given.free_ports,
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
