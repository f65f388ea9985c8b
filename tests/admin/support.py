"""Admin interface of a daemon with state in memory and fake peers."""

from __future__ import annotations

import collections.abc
import contextlib
import threading
import time
import typing

import uvicorn

from agatestile.admin import application
from agatestile.admin import operations
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.settings import schema
from agatestile.state import cluster
from agatestile.state import records
from agatestile.state import table

TABLE_CSV = """\
kind,service,server,domain,address,weight,slots,connections,timeout_ms
service,prices,,,,,,,800
server,prices,price-01,radom,127.0.0.1:9001,1,2,130,
server,prices,price-02,radom,127.0.0.1:9002,1,2,130,
"""
LEADER = records.Term(1, 2, "entry-2#ab")


class Gate(typing.NamedTuple):
    host: str
    forward_address: str


class Step(typing.NamedTuple):
    version: int
    step: int
    server: str


class Views:
    """Route views that a test sets."""

    def __init__(self) -> None:
        self.gates: dict[str, Gate] = {}
        self.step: Step | None = None

    def last_update_of(self, domain: str) -> tuple[records.Term, int] | None:
        return (LEADER, 7) if domain == "radom" else None

    def gate_of(self, server: str) -> Gate | None:
        return self.gates.get(server)

    def step_of(self, service: str, position: int) -> Step | None:
        return self.step


class Appender:
    """Applies appended records to the state immediately."""

    def __init__(self, state: cluster.ClusterState) -> None:
        self.state = state
        self.refusal: outcomes.Refusal | None = None

    async def append(self, record: records.Record) -> int | outcomes.Refusal:
        if self.refusal is not None:
            return self.refusal
        answer = self.state.apply(self.state.offset + 1, record)
        if isinstance(answer, outcomes.Refusal):
            return answer
        return answer.offset


class Follower(typing.NamedTuple):
    ready: bool = True
    last_read: float = 0.0


class Peers:
    """Other hosts, whose offsets rise by one with each status request."""

    def __init__(self) -> None:
        self.answers: dict[str, dict[str, typing.Any] | outcomes.Refusal] = {}

    def hosts(self) -> collections.abc.Collection[str]:
        return {"entry-1", *self.answers}

    async def statuses(
        self,
    ) -> dict[str, dict[str, typing.Any] | outcomes.Refusal]:
        for answer in self.answers.values():
            if isinstance(answer, dict):
                answer["offset"] += 1
        return dict(self.answers)


def peer_status(host: str, offset: int) -> dict[str, typing.Any]:
    """Return the status that another host answers with."""
    return {
        "host": host,
        "failure_domain": "radom",
        "ready": True,
        "state": "active",
        "offset": offset,
        "table_version": offset,
        "leaders": {"radom": "entry-2"},
        "gated_ranges": {"price-02": 4},
        "invariant_violations": {},
    }


UNREACHABLE_PEER = outcomes.Refusal(
    codes.ResultCode.SERVER_UNREACHABLE, "peer 127.0.0.1:1: ConnectError"
)


class OperationsHarness:
    """Admin operations with fake ports, which tests change."""

    def __init__(self) -> None:
        address = schema.Address("127.0.0.1", 0)
        url = schema.BaseUrl("127.0.0.1", 8001)
        self.state = cluster.ClusterState()
        self.views = Views()
        self.appender = Appender(self.state)
        self.peers = Peers()
        self.operations = operations.Operations(
            schema.Settings(
                host="entry-1",
                failure_domain="radom",
                failure_domains=("radom",),
                listen=schema.Listen(address, address, address, address),
                platform=schema.Platform(url, url),
            ),
            self.state,
            Follower(),
            self.appender,
            self.views,
            self.peers,
            {"limits": lambda: {"price-01": {"slots": 2}}},
        )

    def with_table(self) -> OperationsHarness:
        """Put the table in force as version 0 and record a leader."""
        rows = table.from_csv(TABLE_CSV)
        assert not isinstance(rows, outcomes.Refusal)
        for record in (
            records.TableChange("a", "test", -1, rows),
            records.Lead("b", "radom", LEADER._replace(epoch=0)),
        ):
            self.apply(record)
        return self

    def assign(self) -> None:
        """Assign all positions of the service to one server."""
        (owned_range,) = self.state.ranges_by_service["prices"]
        change = records.RangeChange(
            "prices",
            owned_range.start,
            owned_range.end,
            (owned_range.version,),
            "price-01",
            ("price-02",),
        )
        term = LEADER._replace(epoch=0)
        self.apply(records.Assign("c", "radom", term, (change,)))

    def apply(self, record: records.Record) -> None:
        """Apply a record that must be accepted."""
        answer = self.state.apply(self.state.offset + 1, record)
        assert not isinstance(answer, outcomes.Refusal), answer


@contextlib.contextmanager
def serve(harness: OperationsHarness) -> collections.abc.Iterator[str]:
    """Serve the operations of a harness over HTTP and yield the address."""
    server = uvicorn.Server(
        uvicorn.Config(
            application.Application(harness.operations),
            port=0,
            lifespan="off",
            log_config=None,
        )
    )
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    deadline = time.monotonic() + 5
    while not server.started and time.monotonic() < deadline:
        time.sleep(0.005)
    host, port = server.servers[0].sockets[0].getsockname()[:2]
    try:
        yield f"{host}:{port}"
    finally:
        server.should_exit = True
        thread.join(5)
