"""Measures how real daemons rebalance around a hot key.

Usage: python -m bench.hotkey --agatestile COMMAND

Starts three daemons and four stand-in servers of one failure domain as
processes. It sends an equal load to 400 keys, then a much higher one to a
single key of the server with most keys, and waits for the leader to
rebalance. Prints the highest load relative to the mean before and after, the
placement decisions and the longest time without an answer for the hot key.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import itertools
import pathlib
import random
import shlex
import tempfile
import time
import typing

import yaml

from bench import deployments
from bench import http_client
from bench import processes

HOSTS = 3
SERVERS = 4
KEYS = 400
FIRST_PORT = 25000
"""Not used by the committed deployments, which may run at the same time."""
WINDOW_SECONDS = 20.0
"""Duration of the windows at the start and the end that are compared."""
WARM_UP_SECONDS = 15.0
TIMEOUT_SECONDS = 5.0


class Record(typing.NamedTuple):
    """One request: start and end in seconds, and the server that answered."""

    started: float
    ended: float
    key: str
    owner: str
    is_answered: bool


def write_deployment(directory: pathlib.Path) -> None:
    """Write the settings files of all processes of the trial."""
    hosts = [f"entry-{number}" for number in range(1, HOSTS + 1)]
    members = []
    for number, host in enumerate(hosts):
        listen = {
            name: f"127.0.0.1:{FIRST_PORT + 100 + 10 * kind + number}"
            for kind, name in enumerate(
                ("callers", "forward", "peers", "admin")
            )
        }
        settings = {
            "host": host,
            "failure_domain": "radom",
            "failure_domains": ["radom"],
            "listen": listen,
            "platform": {
                "log": f"http://127.0.0.1:{FIRST_PORT + 1}",
                "membership": f"http://127.0.0.1:{FIRST_PORT + 2}",
            },
        }
        (directory / f"{host}.yaml").write_text(yaml.safe_dump(settings))
        addresses = {name: listen[name] for name in listen if name[0] != "c"}
        members.append(
            {"host": host, "failure_domain": "radom", "state": "live"}
            | addresses
        )
    (directory / "hosts.yaml").write_text(yaml.safe_dump(members))
    _write_servers(directory)


def _write_servers(directory: pathlib.Path) -> None:
    rows = [
        "kind,service,server,domain,address,weight,slots,connections,fenced,"
        "state,priority,timeout_ms,repeatable,queue,queue_ms,on_cut,"
        "body_limit",
        "service,lookups,,,,,,,,,8,1000,always,40,200,stay,16384",
    ]
    servers = []
    for number in range(1, SERVERS + 1):
        name, port = f"lookup-{number}", FIRST_PORT + 200 + number
        rows.append(
            f"server,lookups,{name},radom,127.0.0.1:{port},1,2,130,yes,"
            "active,,,,,,,"
        )
        servers.append(
            {
                "name": name,
                "service": "lookups",
                "domain": "radom",
                "port": port,
                "service_ms": 3,
            }
        )
    (directory / "table.csv").write_text("\n".join(rows) + "\n")
    (directory / "servers.yaml").write_text(yaml.safe_dump(servers))


class Sender:
    """Sends requests to the entry hosts in turn."""

    def __init__(self, addresses: typing.Iterable[str]) -> None:
        self._client = http_client.Client()
        self._addresses = itertools.cycle(addresses)
        self.records: list[Record] = []

    async def send(self, key: str) -> Record:
        """Send one request and record it."""
        started = time.monotonic()
        response = await self._client.request(
            next(self._addresses),
            "GET",
            f"/lookups/{key}",
            timeout=TIMEOUT_SECONDS,
        )
        owner, is_answered = "", False
        if isinstance(response, http_client.Response):
            owner = response.headers.get("x-agatestile-owner", "")
            is_answered = response.headers.get("x-agatestile-code") == "0"
        record = Record(started, time.monotonic(), key, owner, is_answered)
        self.records.append(record)
        return record

    async def find_owners(self, keys: list[str]) -> dict[str, str]:
        """Return the owners by key, sending until each key was answered."""
        owners: dict[str, str] = {}
        end = time.monotonic() + 4 * WARM_UP_SECONDS
        while len(owners) < len(keys) and time.monotonic() < end:
            for key in keys:
                if key not in owners:
                    record = await self.send(key)
                    if record.is_answered:
                        owners[key] = record.owner
            await asyncio.sleep(0.1)
        return owners

    async def run(
        self, rates: dict[str, float], seconds: float, generator: random.Random
    ) -> None:
        """Send an open-loop load; rates are requests a second by key."""
        keys, weights = list(rates), list(rates.values())
        total, due = sum(weights), time.monotonic()
        end = due + seconds
        async with asyncio.TaskGroup() as tasks:
            while due < end:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                key = generator.choices(keys, weights)[0]
                tasks.create_task(self.send(key))
                due += generator.expovariate(total)


def peak_to_mean(
    records: typing.Iterable[Record], start: float, end: float
) -> float:
    """Return the highest load of a server in a window over the mean load."""
    counts = collections.Counter(
        record.owner
        for record in records
        if start <= record.started < end and record.is_answered
    )
    return max(counts.values()) * SERVERS / counts.total()


def longest_gap(records: typing.Iterable[Record]) -> tuple[float, float]:
    """Return the start and duration of the longest time without an answer."""
    ended = sorted(record.ended for record in records if record.is_answered)
    return max(
        ((one, other - one) for one, other in itertools.pairwise(ended)),
        key=lambda gap: gap[1],
    )


async def trial(
    sender: Sender, options: argparse.Namespace
) -> tuple[str, list[Record]]:
    """Choose the hot key, send the load and return the key and the records."""
    keys = [f"key-{number}" for number in range(KEYS)]
    owners = await sender.find_owners(keys)
    counts = collections.Counter(owners.values())
    ranked = counts.most_common()
    print(f"keys by server: {dict(ranked)}")
    hot = next(key for key in keys if owners.get(key) == ranked[0][0])
    rates = dict.fromkeys(keys, options.rate / KEYS)
    generator = random.Random(options.seed)
    await sender.run(rates, WARM_UP_SECONDS, generator)
    sender.records.clear()
    rates[hot] = options.hot_rate
    await sender.run(rates, options.seconds, generator)
    return hot, sender.records


def report(
    hot: str, records: list[Record], running: processes.Processes
) -> None:
    """Print the measured figures."""
    start, end = records[0].started, max(item.started for item in records)
    for name, first in (("first", start), ("last", end - WINDOW_SECONDS)):
        ratio = peak_to_mean(records, first, first + WINDOW_SECONDS)
        print(f"{name} {WINDOW_SECONDS:g} s: peak-to-mean {ratio:.2f}")
    hot_records = sorted(item for item in records if item.key == hot)
    answered = [item for item in hot_records if item.is_answered]
    for one, other in itertools.pairwise(answered):
        if one.owner != other.owner:
            print(
                f"hot key from {one.owner} to {other.owner} after "
                f"{other.started - start:.1f} s, "
                f"{(other.ended - one.ended) * 1000:.0f} ms between answers"
            )
    when, gap = longest_gap(hot_records)
    print(
        f"hot key: {len(hot_records)} requests,"
        f" {len(hot_records) - len(answered)} not "
        f"answered; longest time without an answer {gap * 1000:.0f} ms, "
        f"after {when - start:.1f} s"
    )
    failed = sum(not item.is_answered for item in records)
    print(f"all keys: {len(records)} requests, {failed} not answered")
    for name in running.by_name:
        for line in running.by_name[name].text().splitlines():
            if "is to move" in line or "is to be merged" in line:
                print(f"{name}: {line}")


def main() -> None:
    """Run one trial."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--agatestile", required=True, metavar="COMMAND")
    parser.add_argument("--rate", type=float, default=160.0)
    parser.add_argument("--hot-rate", type=float, default=60.0)
    parser.add_argument("--seconds", type=float, default=150.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with (
        tempfile.TemporaryDirectory() as directory,
        processes.Processes() as running,
    ):
        write_deployment(pathlib.Path(directory))
        deployment = deployments.Deployment(
            directory, shlex.split(options.agatestile), running
        )
        deployment.start_platform()
        for host in deployment.hosts:
            deployment.start_daemon(host)
        deployment.wait_for_admin()
        deployment.apply_table()
        deployment.wait_ready()
        sender = Sender(host.callers for host in deployment.entry_hosts())
        hot, records = asyncio.run(trial(sender, options))
        violations = [deployment.violations(host) for host in deployment.hosts]
        report(hot, records, running)
        print(f"violations of invariants: {violations}")


if __name__ == "__main__":
    main()
