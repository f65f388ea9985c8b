"""Cluster state and a simulated leader for the tests of ownership."""

from __future__ import annotations

from agatestile.observability import invariants
from agatestile.ownership import election
from agatestile.ownership import gates
from agatestile.ownership import grants
from agatestile.ownership import leadership
from agatestile.ownership import leases
from agatestile.ownership import terms
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import cluster
from agatestile.state import ranges
from agatestile.state import records

# The times in these tests were chosen for a serve lease of this length.
TIMING = terms.Timing(serve_lease=1.6)
DOMAIN = "radom"
LEADER_TERM = records.Term(0, 1, "h1#a")
MIDDLE = ranges.END // 2


def table(*, fenced: bool = True) -> tuple[records.TableRow, ...]:
    """Return a service with three servers in one domain and one in another."""
    rows = [records.TableRow("service", "price", timeout_ms=1000)]
    for server, domain in (
        ("p1", DOMAIN),
        ("p2", DOMAIN),
        ("p3", DOMAIN),
        ("q1", "warszawa"),
    ):
        rows.append(
            records.TableRow(
                "server",
                "price",
                server,
                domain,
                f"127.0.0.1:{9000 + len(rows)}",
                slots=2,
                connections=9,
                fenced=fenced,
            )
        )
    return tuple(rows)


def change(
    start: int, end: int, base: int, server: str, *successors: str
) -> records.RangeChange:
    return records.RangeChange(
        "price", start, end, (base,), server, successors
    )


def append(state: cluster.ClusterState, record: records.Record) -> int:
    """Append a record and check that it was applied."""
    result = state.apply(state.offset + 1, record)
    assert isinstance(result, cluster.Applied), result
    return result.offset


def state(*, fenced: bool = True) -> cluster.ClusterState:
    """Return a state at offset 2: p1 owns one half and p2 the other."""
    cluster_state = cluster.ClusterState()
    append(
        cluster_state, records.TableChange("t", "op", -1, table(fenced=fenced))
    )
    append(cluster_state, records.Lead("l", DOMAIN, LEADER_TERM))
    append(
        cluster_state,
        records.Assign(
            "a",
            DOMAIN,
            LEADER_TERM,
            (
                change(0, MIDDLE, 0, "p1", "p2", "p3"),
                change(MIDDLE, ranges.END, 0, "p2", "p3", "p1"),
            ),
        ),
    )
    return cluster_state


class LeaderSimulation:
    """A leader, its servers and the gates of one host, without a network."""

    def __init__(
        self,
        cluster_state: cluster.ClusterState,
        now: float,
        instance: str = "h1#a",
        books: dict[str, grants.GrantBook] | None = None,
        term: records.Term | None = None,
    ) -> None:
        self.state = cluster_state
        self.checks = invariants.Invariants()
        self.books = books or {
            name: grants.GrantBook(f"{name}#1", now - 100)
            for name in ("p1", "p2", "p3")
        }
        self.silent: set[str] = set()
        self.votes = leases.Votes(DOMAIN, instance, TIMING)
        self.votes.set_servers(election.voters(cluster_state.table, DOMAIN))
        self.votes.term = term or records.Term(1, 2, instance)
        for _ in range(2):
            for name, lease in self.votes.by_server.items():
                self._exchange(
                    name, lease.prepare(DOMAIN, self.votes.term, now)
                )
        self.leader = leadership.Leadership(
            self.votes,
            terms.host_of(instance),
            cluster_state,
            self.checks,
            now,
        )
        self.gates = gates.GateTable(cluster_state, TIMING, self.checks)

    def _exchange(
        self,
        name: str,
        prepared: tuple[grants.GrantRequest, leases.Exchange],
    ) -> None:
        if name in self.silent:
            return
        sent, exchange = prepared
        now = exchange.sent_at
        reply = self.books[name].handle(sent, now)
        lease = self.votes.by_server[name]
        lease.receive(exchange, reply, now)
        self.votes.note_reply(reply)

    def exchange_grants(self, now: float) -> None:
        """Send a grant to each live server and let the leader act."""
        self.leader.tick(now)
        for name in list(self.votes.by_server):
            prepared = self.leader.next_grant(name, now)
            if prepared is not None:
                self._exchange(name, prepared)
        self.leader.tick(now)

    def send_heartbeat(
        self,
        now: float,
        host: str = "h1",
        other_table: gates.GateTable | None = None,
        offset: int | None = None,
        is_announced: bool = True,
    ) -> ttypes.HeartbeatReply:
        """Send a host's heartbeat to the leader and apply the reply.

        `is_announced` is whether the leader's announcement arrived before.
        """
        gate_table = other_table or self.gates
        view = gate_table.view(DOMAIN)
        if is_announced:
            gate_table.note_term(DOMAIN, self.votes.term)
        reply = self.leader.on_heartbeat(
            ttypes.Heartbeat(
                domain=DOMAIN,
                host=host,
                host_domain=DOMAIN,
                instance=f"{host}#a",
                stamp=now,
                forward_address="127.0.0.1:1",
                offset=self.state.offset if offset is None else offset,
                route_sequence=view.route_sequence,
                route_term=terms.to_thrift(view.route_term),
                leaving=False,
                gates=[
                    ttypes.GateReport(server, fence, 0, 0.0, 0.0)
                    for server, fence in gate_table.held(DOMAIN, now).items()
                ],
                released=[item.to_thrift() for item in gate_table.released()],
                known_term=terms.to_thrift(view.known_term),
                steps=[step.to_thrift() for step in view.steps]
                if view.route_term != view.known_term
                else [],
            ),
            now,
        )
        gate_table.apply_reply(DOMAIN, reply)
        return reply

    def run(self, start: float, end: float) -> float:
        """Exchange grants and heartbeats every 0.1 s; return the end time."""
        now = start
        while now < end:
            self.exchange_grants(now)
            self.send_heartbeat(now)
            now += 0.1
        return now
