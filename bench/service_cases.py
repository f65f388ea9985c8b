"""Measures of the service benchmark, with their cases and columns."""

from __future__ import annotations

import typing

from bench import service_faults
from bench import service_figures
from bench import spread
from bench import systems

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from bench import load


class Case(typing.NamedTuple):
    """A row of a table, measured for each of the case's systems.

    Attributes
    ----------
    name : str
        Name of the row.
    fault : callable
        Fault that is injected during the load.
    for_systems : tuple of str
        Names of the systems to which the fault applies.
    """

    name: str
    fault: service_faults.Fault
    for_systems: tuple[str, ...] = (systems.AGATESTILE, systems.FORWARDER)


class Measure(typing.NamedTuple):
    """A table of the benchmark.

    Attributes
    ----------
    name : str
        Value of --only.
    title : str
        Heading of the table.
    columns : tuple of spread.Column
        Columns of the table.
    cases : tuple of Case
        Rows of the table.
    figures : callable
        Computes the figures of a trial from its records, system and
        duration in seconds.
    rate : float
        Requests a second of the measured load.
    warm_up_rate : float
        Requests a second before the measured load.
    only_lookups : bool
        Whether to send only lookups, without probes.
    even_keys : bool
        Whether all keys are equally popular.
    service_ms : float or None
        Mean execution time of a lookup that replaces the committed one,
        milliseconds.
    """

    name: str
    title: str
    columns: tuple[spread.Column, ...]
    cases: tuple[Case, ...]
    figures: Callable[[list[load.Record], systems.System, float], list[float]]
    rate: float
    warm_up_rate: float
    only_lookups: bool = True
    even_keys: bool = False
    service_ms: float | None = None


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
            Case("none slowed", service_faults.no_fault),
            Case("1 of 17 slowed", service_faults.slow(1)),
            Case("3 of 17 slowed", service_faults.slow(3)),
        ),
        service_figures.latency_figures,
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
        (Case("two cold", service_faults.cold),),
        service_figures.overload_figures,
        2 * service_figures.SUSTAINED_RATE,
        service_figures.SUSTAINED_RATE / 2,
        even_keys=True,
        service_ms=service_figures.OVERLOAD_SERVICE_MS,
    ),
    Measure(
        "loss",
        "Service during changes and losses, mixed load with probes",
        (
            spread.Column("answered, %", 2),
            spread.Column("longest unavailable time of a key, s", 2),
        ),
        (
            Case("none", service_faults.no_fault),
            Case(
                "failure domain out and in",
                service_faults.domain_leaves,
                (systems.AGATESTILE,),
            ),
            Case("one entry host killed", service_faults.kill_hosts(1)),
            Case("two entry hosts killed", service_faults.kill_hosts(2)),
            Case("owner down", service_faults.lose_owner("down_s")),
            Case("owner frozen", service_faults.lose_owner("freeze_s")),
        ),
        service_figures.availability_figures,
        300.0,
        300.0,
        only_lookups=False,
    ),
)
