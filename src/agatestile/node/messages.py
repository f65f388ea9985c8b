"""Messages between hosts, encoded as msgpack."""

from __future__ import annotations

import msgspec

from agatestile.assignment import records


class ServerFigures(msgspec.Struct, array_like=True):
    """What a host measured of a server.

    Attributes
    ----------
    service_time : float
        Mean time of a request at work, seconds.
    failure_share : float
        Recent share of failures.
    answered : int
        Answers since the last report.
    """

    service_time: float
    failure_share: float
    answered: int


class Report(msgspec.Struct, array_like=True):
    """What a host tells the coordinator.

    Attributes
    ----------
    host : str
        Peer address of the host.
    epoch, version : int
        Assignment that it knows.
    requests : dict
        Requests by key since the last report, by service.
    servers : dict
        Figures by server.
    """

    host: str
    epoch: int
    version: int
    requests: dict[str, dict[int, int]]
    servers: dict[str, ServerFigures]


class Instructions(msgspec.Struct, array_like=True):
    """What the coordinator answers.

    Attributes
    ----------
    epoch, version : int
        The present assignment.
    host_count, host_rank : int
        Number of hosts that report, and the place of this one.
    is_confirmed : bool
        Whether the store confirmed the coordinator's seat lately.
    services : dict or None
        Range maps, None if the host knows them.
    """

    epoch: int
    version: int
    host_count: int
    host_rank: int
    is_confirmed: bool
    services: dict[str, records.ServiceRanges] | None


class Redirect(msgspec.Struct, array_like=True):
    """Answer of a host that is not the coordinator.

    Attributes
    ----------
    coordinator : str
        Peer address of the coordinator it knows, empty for none.
    """

    coordinator: str
