"""Runs both deployments under load and kills one daemon.

Usage: python -m bench.demo --agatestile COMMAND

Starts the stand-ins and five daemons per deployment as processes, applies
the services table, sends a mixed load, kills one daemon halfway and checks
the invariants. The exit status is 1 if an invariant was violated and 2 if a
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
PROBE_INTERVAL_SECONDS = 0.2
WARM_UP_TIMEOUT_SECONDS = 20.0
SETTLE_SECONDS = 6.0


class Options(typing.NamedTuple):
    """Options of a run.

    Attributes
    ----------
    command : list of str
        Command that runs agatestile.
    rate : float
        Mixed requests a second, in addition to the probes.
    seconds : float
        Length of the measured load.
    seed : int
        Seed of the load and of the choice of the daemon to kill.
    keep : bool
        Whether to keep the output of processes and a list of requests.
    free_ports : bool
        Whether to use free ports instead of the committed ones.
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
    """Warm the servers up, send the load and kill a daemon halfway."""
    entry_balancer = balancer.Balancer(deployment.entry_hosts())
    services = deployment.services()
    lost = deployment.hosts[options.seed % len(deployment.hosts)]
    readiness_task = asyncio.create_task(entry_balancer.poll_readiness())
    await entry_balancer.check_readiness()
    started = time.monotonic()
    warm_up_records = await warm_up(entry_balancer, services, options)
    warm_up_seconds = time.monotonic() - started

    async def kill_daemon() -> None:
        await asyncio.sleep(options.seconds / 2)
        running.kill(lost)

    kill_task = asyncio.create_task(kill_daemon())
    measured = await load.run(
        entry_balancer,
        plan_load(services, options.rate, options.seconds, options.seed),
        time.monotonic(),
    )
    await kill_task
    readiness_task.cancel()
    entry_balancer.client.close()
    return report.Trial(
        measured,
        warm_up_records,
        warm_up_seconds,
        lost,
        PROBE_INTERVAL_SECONDS,
    )


async def warm_up(
    entry_balancer: balancer.Balancer,
    services: list[load.ServiceLoad],
    options: Options,
) -> list[load.Record]:
    """Send probes until all are answered, then raise the load in steps."""
    records: list[load.Record] = []
    seed = options.seed + 1_000_000
    end = time.monotonic() + WARM_UP_TIMEOUT_SECONDS
    while time.monotonic() < end:
        probes = list(load.plan_probes(services, PROBED_KEYS, 1.0, 1.0, seed))
        probes.sort(key=lambda request: request.start)
        latest = await load.run(entry_balancer, probes, time.monotonic())
        records += latest
        seed += 1
        if all(record.answered for record in latest):
            break
    for part in (0.1, 0.3, 0.6):
        seed += 1
        records += await load.run(
            entry_balancer,
            plan_load(services, options.rate * part, SETTLE_SECONDS / 3, seed),
            time.monotonic(),
        )
    return records


def plan_load(
    services: list[load.ServiceLoad], rate: float, seconds: float, seed: int
) -> list[load.Request]:
    """Plan mixed requests and probes of some keys of each service."""
    requests = [
        *load.plan_mixed(services, rate, seconds, seed),
        *load.plan_probes(
            services, PROBED_KEYS, PROBE_INTERVAL_SECONDS, seconds, seed
        ),
    ]
    return sorted(requests, key=lambda request: request.start)


def run_deployment(name: str, options: Options) -> bool:
    """Run one deployment and return whether all invariants held."""
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
        passed = report.print_checks(checks)
        running.keep_output = options.keep or not passed
        if running.keep_output:
            report.write_records(running.directory / "requests.jsonl", trial)
        return passed


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
            "daemons run until SIGTERM and then exit with status 0",
            len(survivors),
            [f"{name}: exited before SIGTERM" for name in ended]
            + [
                f"{name}: exit status {status}"
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
    arguments = parser.parse_args()
    options = Options(
        shlex.split(arguments.agatestile),
        arguments.rate,
        arguments.seconds,
        arguments.seed,
        arguments.keep,
        arguments.free_ports,
    )
    try:
        passed = [
            run_deployment(name, options)
            for name in arguments.deployment or deployments.NAMES
        ]
    except processes.NotReadyError as error:
        print(f"demo: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
