"""A server that takes work from one host at a time.

Embeds the parts that decide who owns a key and who may send for it, without
the daemons: the log is a list, messages are calls, and the clock is a
number. Run it with ``python -m examples.exclusive_server``.
"""

from __future__ import annotations

import typing

import agatestile
from agatestile.rpc.generated.agatestile_rpc import ttypes

SERVER = "ledger-01"
TERM = agatestile.Term(1, 1, "host-a#1")
TIMING = agatestile.Timing()


class Server:
    """Runs work only under its current fence.

    A program keeps one `GrantBook` in each process that owns keys.
    """

    def __init__(self, now: float) -> None:
        self.book = agatestile.GrantBook("first start", now)
        self.done: list[str] = []

    def work(self, fence: str, what: str, now: float) -> bool:
        """Run a piece of work; False if the fence is not valid."""
        if not self.book.accepts(fence, now):
            return False
        self.done.append(what)
        return True


class Host:
    """Sends work to servers for which it is the gate."""

    def __init__(self, state: agatestile.ClusterState) -> None:
        self.checks = agatestile.Invariants()
        self.gates = agatestile.GateTable(state, TIMING, self.checks)

    def learn(self, fence: str, sequence: int, now: float) -> None:
        """Take the answer of the leader to a heartbeat sent at a time."""
        term = ttypes.Term(*TERM)
        self.gates.apply_reply(
            "north",
            ttypes.HeartbeatReply(
                leads=True,
                leader="host-a",
                term=term,
                stamp=now,
                grants=[ttypes.GateGrant(SERVER, fence)],
                release=[],
                view=ttypes.RouteView("north", term, sequence, [], []),
            ),
        )

    def send(self, server: Server, key: str, now: float) -> str:
        """Send work for a key; return what became of it."""
        permit = self.gates.permit(SERVER, agatestile.position_of(key), now)
        if isinstance(permit, agatestile.Refusal):
            return permit.code.name
        if server.work(permit.fence, key, now):
            return "done"
        return "refused by the server"


class Leader:
    """Gives the server to one host after another."""

    def __init__(self) -> None:
        self._lease = agatestile.ServerLease(TIMING)
        self._sequence = 0

    def ask(self, server: Server, now: float) -> None:
        """Learn the time of the server's clock, from which leases run."""
        request, exchange = self._lease.ask("north", TERM, now)
        self._lease.receive(exchange, server.book.handle(request, now), now)

    def grant(self, server: Server, host: str, now: float) -> str:
        """Return the fence with which a host may use the server."""
        self._sequence += 1
        fence = agatestile.Fence(TERM, self._sequence).to_text()
        request, exchange = self._lease.prepare(
            "north", TERM, now, fence, host
        )
        reply = server.book.handle(request, now)
        self._lease.receive(exchange, reply, now)
        if not reply.accepted:
            raise RuntimeError(reply.reason)
        return fence


def make_state() -> agatestile.ClusterState:
    """Return the state after the records that a log would hold."""
    rows = (
        agatestile.TableRow("service", "ledger", timeout_ms=500),
        agatestile.TableRow(
            "server",
            "ledger",
            server=SERVER,
            domain="north",
            address="127.0.0.1:9001",
            slots=2,
            connections=10,
        ),
    )
    log: list[typing.Any] = [
        agatestile.TableChange("1", "ama", -1, rows),
        agatestile.Lead("2", "north", TERM._replace(epoch=0)),
    ]
    state = agatestile.ClusterState()
    for offset, record in enumerate(log):
        state.apply(offset, record)
    (whole,) = state.ranges_by_service["ledger"]
    change = agatestile.RangeChange(
        "ledger", whole.start, whole.end, (whole.version,), SERVER
    )
    term = TERM._replace(epoch=0)
    answer = state.apply(2, agatestile.Assign("3", "north", term, (change,)))
    if isinstance(answer, agatestile.Refusal):
        raise RuntimeError(answer.reason)
    return state


def main() -> list[str]:
    """Hand a server from one host to another and return what happened."""
    state, server, leader = make_state(), Server(now=0.0), Leader()
    first, second = Host(state), Host(state)
    events = []
    leader.ask(server, now=2.0)
    fence = leader.grant(server, "host-a", now=2.0)
    first.learn(fence, 1, now=2.0)
    events.append(f"host-a: {first.send(server, 'account 7', now=2.1)}")
    events.append(f"host-b: {second.send(server, 'account 7', now=2.1)}")
    # host-a is paused here. The server refuses its fence at once, and after
    # the lease host-a knows itself that it must not send.
    fence = leader.grant(server, "host-b", now=2.5)
    second.learn(fence, 2, now=2.5)
    events.append(f"host-b: {second.send(server, 'account 7', now=2.6)}")
    events.append(f"host-a: {first.send(server, 'account 7', now=2.6)}")
    events.append(f"host-a: {first.send(server, 'account 7', now=4.0)}")
    return events


if __name__ == "__main__":
    print("\n".join(main()))
