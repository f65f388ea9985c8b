"""Cost of the control plane and delay until a table change is in force.

``python -m bench.control`` runs daemons without load as processes and reads
their processor time, memory and bytes from the operating system.
"""

from __future__ import annotations

import datetime
import json
import os
import pathlib
import re
import shlex
import time
import typing
import urllib.error
import urllib.request

import click

from bench import processes
from bench import slopes
from bench import synthetic

SERVER_SIZES = (6, 12, 24, 48)
HOST_SIZES = (5, 10, 20, 40, 80)
SERVERS_FOR_HOSTS = 12
SETTLE_SECONDS = 6.0
MEASURE_SECONDS = 10.0
TABLE_CHANGES = 3
READY_TIMEOUT_SECONDS = 60.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

_IN_FORCE = re.compile(r"^(\S+Z) .*table: version (\d+) .* in force", re.M)


class Usage(typing.NamedTuple):
    """Resources used by one process.

    Attributes
    ----------
    core : float
        Share of one core, percent.
    memory : float
        Resident memory, MB.
    traffic : float
        Data read and written, KB a second; this includes log lines.
    """

    core: float
    memory: float
    traffic: float


class Point(typing.NamedTuple):
    """Figures of one deployment without load; `in_force` is in seconds."""

    leader: Usage
    other: Usage
    in_force: list[float]


def measure(size: synthetic.Size, base_port: int, command: list[str]) -> Point:
    """Start a deployment, measure it and stop it."""
    with processes.Processes() as running:
        deployment = synthetic.Deployment(size, base_port, command, running)
        deployment.start()
        running.wait_until(
            "status of all hosts",
            lambda: _all_hosts_respond(deployment),
            READY_TIMEOUT_SECONDS,
        )
        deployment.apply_table("apply")
        running.wait_until(
            "leader", lambda: bool(_leaders(deployment)), READY_TIMEOUT_SECONDS
        )
        time.sleep(SETTLE_SECONDS)
        leaders = _leaders(deployment)
        usages = _usages(running, deployment.hosts)
        in_force = [
            _time_in_force(deployment, running, number)
            for number in range(TABLE_CHANGES)
        ]
    others = [usage for host, usage in usages.items() if host not in leaders]
    return Point(
        _mean([usages[host] for host in leaders]), _mean(others), in_force
    )


def _statuses(
    deployment: synthetic.Deployment,
) -> dict[str, typing.Any] | None:
    url = f"http://{deployment.admin()}/status"
    try:
        with urllib.request.urlopen(url, timeout=5.0) as response:
            return typing.cast(
                dict[str, typing.Any], json.load(response)["hosts"]
            )
    except (urllib.error.URLError, TimeoutError, ConnectionError):
        return None


def _all_hosts_respond(deployment: synthetic.Deployment) -> bool:
    statuses = _statuses(deployment) or {}
    return len(statuses) == deployment.size.hosts and not any(
        "unreachable" in status for status in statuses.values()
    )


def _leaders(deployment: synthetic.Deployment) -> set[str]:
    statuses = _statuses(deployment) or {}
    leaders = {
        leader
        for status in statuses.values()
        for leader in status.get("leaders", {}).values()
    }
    return leaders - {None}


def _usages(
    running: processes.Processes, hosts: list[str]
) -> dict[str, Usage]:
    before = {host: _read_usage(running.by_name[host]) for host in hosts}
    started = time.monotonic()
    time.sleep(MEASURE_SECONDS)
    after = {host: _read_usage(running.by_name[host]) for host in hosts}
    elapsed = time.monotonic() - started
    return {
        host: Usage(
            (after[host][0] - before[host][0]) / elapsed * 100.0,
            after[host][1] / 1e6,
            (after[host][2] - before[host][2]) / elapsed / 1e3,
        )
        for host in hosts
    }


def _read_usage(process: processes.Process) -> tuple[float, float, float]:
    """Return processor seconds, resident bytes and bytes transferred."""
    path = pathlib.Path("/proc") / str(process.handle.pid)
    fields = (path / "stat").read_text().rpartition(")")[2].split()
    seconds = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    resident = int((path / "statm").read_text().split()[1]) * PAGE_BYTES
    counters = dict(
        line.split(": ") for line in (path / "io").read_text().splitlines()
    )
    return (
        seconds,
        float(resident),
        float(int(counters["rchar"]) + int(counters["wchar"])),
    )


def _mean(usages: list[Usage]) -> Usage:
    columns = zip(*usages, strict=True)
    return Usage(*(sum(column) / len(usages) for column in columns))


def _time_in_force(
    deployment: synthetic.Deployment,
    running: processes.Processes,
    number: int,
) -> float:
    """Return the time from the command to the log line of the last host.

    The time, in seconds, includes the start of the command, which takes
    most of it.
    """
    seen = {
        host: len(_IN_FORCE.findall(running.by_name[host].text()))
        for host in deployment.hosts
    }
    started = time.time()
    deployment.apply_table(f"apply-{number}")
    running.wait_until(
        "table change to be in force",
        lambda: all(
            len(_IN_FORCE.findall(running.by_name[host].text())) > seen[host]
            for host in deployment.hosts
        ),
        READY_TIMEOUT_SECONDS,
    )
    last = max(
        _IN_FORCE.findall(running.by_name[host].text())[-1][0]
        for host in deployment.hosts
    )
    return datetime.datetime.fromisoformat(last).timestamp() - started


@click.command()
@click.option("--agatestile", default="agatestile", show_default=True)
@click.option("--base-port", type=int, default=30000, show_default=True)
@click.option("--largest", type=int, default=80, show_default=True)
def main(agatestile: str, base_port: int, largest: int) -> None:
    """Print the table of slopes."""
    command = shlex.split(agatestile)
    by_servers = {
        size: measure(synthetic.Size(3, size, 1), base_port, command)
        for size in SERVER_SIZES
    }
    by_hosts = {
        size: measure(
            synthetic.Size(size, SERVERS_FOR_HOSTS, 1), base_port, command
        )
        for size in HOST_SIZES
        if size <= largest
    }
    click.echo(slopes.TABLE_HEAD)
    for name, points in (("servers", by_servers), ("hosts", by_hosts)):
        for role in ("leader", "other"):
            for figure, unit in (
                ("core", "% of a core"),
                ("memory", "MB"),
                ("traffic", "KB/s"),
            ):
                slope = slopes.Slope.from_points(
                    f"{role}: {unit}",
                    name,
                    [
                        (size, getattr(getattr(point, role), figure))
                        for size, point in points.items()
                    ],
                )
                click.echo(slope.to_row())
    click.echo(
        slopes.Slope.from_points(
            "table change in force on the last host, s",
            "hosts",
            [(size, max(point.in_force)) for size, point in by_hosts.items()],
        ).to_row()
    )


if __name__ == "__main__":
    main()
