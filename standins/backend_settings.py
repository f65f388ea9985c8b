"""Settings of the stand-in backend servers."""

from __future__ import annotations

import pathlib
import typing

import yaml


class ServerSettings(typing.NamedTuple):
    """One stand-in backend server.

    Attributes
    ----------
    name, service, domain : str
        As in the services table.
    port : int
        TCP port, 0 for a free one.
    slots : int
        Requests that it runs at the same time.
    connections : int
        Connections that it accepts.
    fenced : bool
        Whether it checks the fence of requests.
    service_ms : float
        Mean time for one request, milliseconds; 0 answers at once.
    cold_seconds : float
        Time from the first request until it is warm; 0 starts warm.
    cold_rate : float
        Requests a second that it bears when cold, doubled each second.
    down_seconds : float
        How long it is gone after it fell over.
    lag_seconds : float
        Age of the figures in /health and /load.
    """

    name: str
    service: str
    domain: str
    port: int = 0
    slots: int = 2
    connections: int = 130
    fenced: bool = True
    service_ms: float = 0.0
    cold_seconds: float = 0.0
    cold_rate: float = 4.0
    down_seconds: float = 3.0
    lag_seconds: float = 2.0


def load(path: pathlib.Path) -> list[ServerSettings]:
    """Read a list of servers from a YAML file.

    Raises
    ------
    TypeError
        If an entry has an unknown key or lacks a name.
    """
    entries = yaml.safe_load(path.read_text(encoding="utf-8"))
    return [ServerSettings(**entry) for entry in entries]
