"""Cases of the service measurement: load, fault and figures."""

from __future__ import annotations

import asyncio
import json
import random
import typing

from bench import http_client
from bench import load
from bench import spread
from bench import systems
from bench import verdict

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Mapping

SLOW_SECONDS = 0.2
SLOW_FACTOR = 10.0
# Longer than what is left of a trial, so that the owner does not return.
LOSS_SECONDS = 60.0
# With 17 servers of two slots this is 425 lookups a second, so that twice
# the load stays within what one load generator sends on time.
OVERLOAD_SERVICE_MS = 80.0
BORNE_RATE = 17 * 2 / (OVERLOAD_SERVICE_MS / 1000)
COLD_SERVERS = 2
# Result codes with which a request reached a server: SERVER_REFUSED,
# SERVER_SHED, OUTCOME_UNKNOWN, ANSWER_BROKEN.
REACHED_CODES = (207, 208, 300, 301)


class Trial(typing.NamedTuple):
    """One run of a case on one system with one seed.

    Attributes
    ----------
    system : systems.System
        The running system.
    seed : int
        Seed of the load and of the fault.
    seconds : float
        Length of the load.
    owner : str
        Server that owns a probed key.
    client : http_client.Client
        For the stand-ins' control interface.
    draw : random.Random
        Chooses what is affected.
    """

    system: systems.System
    seed: int
    seconds: float
    owner: str
    client: http_client.Client
    draw: random.Random

    async def control(self, server: str, **wishes: object) -> None:
        """Change the behaviour of a stand-in server.

        Raises
        ------
        RuntimeError
            If the server did not confirm it.
        """
        result = await self.client.request(
            self.system.address(server),
            "POST",
            "/control",
            body=json.dumps(wishes).encode(),
        )
        if isinstance(result, http_client.Failure) or result.status != 200:
            raise RuntimeError(f"{server} did not take {wishes}: {result}")


if typing.TYPE_CHECKING:
    Fault = Callable[[Trial], Coroutine[None, None, None]]


class Case(typing.NamedTuple):
    """A row of a table, measured for each of its systems.

    Attributes
    ----------
    name : str
        Name of the row.
    fault : callable
        Runs beside the load.
    for_systems : tuple of str
        Names of the systems to which the fault applies.
    """

    name: str
    fault: Fault
    for_systems: tuple[str, ...] = (systems.AGATESTILE, systems.FORWARDER)


class Measure(typing.NamedTuple):
    """A table.

    Attributes
    ----------
    name : str
        Value of --only.
    title : str
        Heading of the table.
    columns : tuple of spread.Column
        Its figures.
    cases : tuple of Case
        Its rows.
    figures : callable
        Figures of a trial from its records and the servers' counters.
    rate : float
        Requests a second.
    warm_up_rate : float
        The same before the measured load.
    only_lookups : bool
        Whether to send lookups alone, without probes.
    even_keys : bool
        Whether all keys are equally popular.
    service_ms : float or None
        Mean time of a lookup in place of the committed one.
    """

    name: str
    title: str
    columns: tuple[spread.Column, ...]
    cases: tuple[Case, ...]
    figures: Callable[
        [list[load.Record], Mapping[str, int], float], list[float]
    ]
    rate: float
    warm_up_rate: float
    only_lookups: bool = True
    even_keys: bool = False
    service_ms: float | None = None


async def _no_fault(trial: Trial) -> None:
    return


def _slow(count: int) -> Fault:
    async def slow(trial: Trial) -> None:
        """Slow other servers every 200 ms until the load ends."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        servers = trial.system.lookup_servers()
        for turn in range(int(trial.seconds / SLOW_SECONDS)):
            wishes = {"factor": SLOW_FACTOR, "seconds": SLOW_SECONDS}
            chosen = trial.draw.sample(servers, count)
            await asyncio.gather(
                *(trial.control(server, slow=wishes) for server in chosen)
            )
            next_turn = begin + (turn + 1) * SLOW_SECONDS
            await asyncio.sleep(max(0.0, next_turn - loop.time()))

    return slow


async def _cold(trial: Trial) -> None:
    servers = trial.system.lookup_servers()
    chosen = trial.draw.sample(servers, COLD_SERVERS)
    await asyncio.gather(
        *(trial.control(server, cold=True) for server in chosen)
    )


async def _domain_leaves(trial: Trial) -> None:
    hosts = trial.system.deployment.settings_by_host
    domains = next(iter(hosts.values())).failure_domains
    domain = trial.draw.choice(domains)
    await asyncio.sleep(trial.seconds / 5)
    await asyncio.to_thread(trial.system.set_domain, domain, "out")
    await asyncio.sleep(trial.seconds / 3)
    await asyncio.to_thread(trial.system.set_domain, domain, "in")


def _kill_hosts(count: int) -> Fault:
    async def kill(trial: Trial) -> None:
        chosen = trial.draw.sample(trial.system.deployment.hosts, count)
        await asyncio.sleep(trial.seconds / 3)
        for host in chosen:
            trial.system.running.kill(host)

    return kill


def _lose_owner(wish: str) -> Fault:
    async def lose(trial: Trial) -> None:
        await asyncio.sleep(trial.seconds / 3)
        await trial.control(trial.owner, **{wish: LOSS_SECONDS})

    return lose


def answered_percent(records: list[load.Record]) -> float:
    """Return the share of requests that were answered, percent."""
    return 100 * sum(record.answered for record in records) / len(records)


def _latency_figures(
    records: list[load.Record], counts: Mapping[str, int], seconds: float
) -> list[float]:
    histogram = verdict.latencies(records)
    return [
        *(
            histogram.get_value_at_percentile(part) / 1000
            for part in (50, 99, 99.9)
        ),
        answered_percent(records),
    ]


def _overload_figures(
    records: list[load.Record], counts: Mapping[str, int], seconds: float
) -> list[float]:
    answered = sum(record.answered for record in records)
    return [
        answered / seconds,
        100 * answered / seconds / BORNE_RATE,
        counts.get("fell_over", 0),
        repeated_percent(records, counts),
    ]


def repeated_percent(
    records: list[load.Record], counts: Mapping[str, int]
) -> float:
    """Return the arrivals at servers beyond the first, percent of load.

    Neither the daemons nor the servers count retries. A request reached a
    server if it was answered, or its code or failure says so.
    """
    arrivals = sum(
        counts.get(name, 0)
        for name in ("executed", "shed", "shed_cold", "fence", "fell_over")
    )
    reached = sum(
        record.answered
        or record.code in REACHED_CODES
        or record.failure in ("broken", "timeout")
        for record in records
    )
    return 100 * max(0, arrivals - reached) / len(records)


def _availability_figures(
    records: list[load.Record], counts: Mapping[str, int], seconds: float
) -> list[float]:
    gaps = verdict.unavailable(records).values()
    return [answered_percent(records), max(gaps)]


MEASURES = (
    Measure(
        "latency",
        "Latency of lookups from the intended start, with servers slowed",
        (
            spread.Column("p50, ms", 1),
            spread.Column("p99, ms", 1),
            spread.Column("p99.9, ms", 1),
            spread.Column("answered, %", 2),
        ),
        (
            Case("none slowed", _no_fault),
            Case("1 of 17 slowed", _slow(1)),
            Case("3 of 17 slowed", _slow(3)),
        ),
        _latency_figures,
        400.0,
        400.0,
    ),
    Measure(
        "overload",
        "Lookups at twice the load that the servers bear, two servers cold",
        (
            spread.Column("goodput, requests/s", 0),
            spread.Column("goodput, % of what servers bear", 1),
            spread.Column("servers fallen over", 0),
            spread.Column("repeated arrivals, % of load", 2),
        ),
        (Case("two cold", _cold),),
        _overload_figures,
        2 * BORNE_RATE,
        BORNE_RATE / 2,
        even_keys=True,
        service_ms=OVERLOAD_SERVICE_MS,
    ),
    Measure(
        "loss",
        "Service during changes and losses, mixed load with probes",
        (
            spread.Column("answered, %", 2),
            spread.Column("longest unavailable time of a key, s", 2),
        ),
        (
            Case("none", _no_fault),
            Case(
                "failure domain out and in",
                _domain_leaves,
                (systems.AGATESTILE,),
            ),
            Case("one entry host killed", _kill_hosts(1)),
            Case("two entry hosts killed", _kill_hosts(2)),
            Case("owner down", _lose_owner("down_s")),
            Case("owner frozen", _lose_owner("freeze_s")),
        ),
        _availability_figures,
        300.0,
        300.0,
        only_lookups=False,
    ),
)
