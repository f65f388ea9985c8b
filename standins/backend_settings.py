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
        Name, service and failure domain, as in the services table.
    port : int
        TCP port, 0 for a free one.
    slots : int
        Largest number of requests that run at the same time.
    connections : int
        Largest number of open connections.
    fenced : bool
        Whether the server checks the fencing token of requests.
    service_ms : float
        Mean service time of a request, milliseconds; 0 responds at once.
    cold_seconds : float
        Time from the first request until the server is warm, seconds; 0 for
        a server that starts warm.
    cold_rate : float
        Requests a second that a cold server bears, doubled each second.
    down_seconds : float
        Downtime after a crash, seconds.
    lag_seconds : float
        Age of the figures in /health and /load, seconds.
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
        If an entry has an unknown key or lacks a required one.
    """
    entries = yaml.safe_load(path.read_text(encoding="utf-8"))
    return [ServerSettings(**entry) for entry in entries]
