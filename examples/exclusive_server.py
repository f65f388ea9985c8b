"""A server that accepts work from one host at a time.

Embeds the parts of the library that decide who owns a key and who may send
requests for it, without the daemons: the log is a list, messages are method
calls, and the clock is a number of seconds. Run it with
``python -m examples.exclusive_server``.
"""

from __future__ import annotations

import typing

import agatestile
from agatestile.rpc.generated.agatestile_rpc import ttypes

SERVER = "ledger-01"
TERM = agatestile.Term(1, 1, "host-a#1")
TIMING = agatestile.Timing()


class Server:
    """Runs work only with its current fencing token.

    Each process that owns keys has one `GrantBook`.
    """

    def __init__(self, now: float) -> None:
        self.book = agatestile.GrantBook("first start", now)
        self.done: list[str] = []

    def run(self, fence: str, work: str, now: float) -> bool:
        """Run a piece of work; return whether the fencing token is valid."""
        if not self.book.accepts(fence, now):
            return False
        self.done.append(work)
        return True


class Host:
    """Sends work to the servers whose gate it is."""

    def __init__(self, state: agatestile.ClusterState) -> None:
        self.invariants = agatestile.Invariants()
        self.gates = agatestile.GateTable(state, TIMING, self.invariants)

    def apply_heartbeat_reply(
        self, fence: str, sequence: int, now: float
    ) -> None:
        """Apply the leader's reply to a heartbeat that was sent at `now`."""
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
        """Send work for a key; return its result."""
        permit = self.gates.permit(SERVER, agatestile.position_of(key), now)
        if isinstance(permit, agatestile.Refusal):
            return permit.code.name
        if server.run(permit.fence, key, now):
            return "done"
        return "refused by the server"


class Leader:
    """Leader that grants the server to one host after another."""

    def __init__(self) -> None:
        self._lease = agatestile.ServerLease(TIMING)
        self._sequence = 0

    def read_clock(self, server: Server, now: float) -> None:
        """Read the server's clock, from which its leases are measured."""
        request, exchange = self._lease.ask("north", TERM, now)
        self._lease.receive(exchange, server.book.handle(request, now), now)

    def grant(self, server: Server, host: str, now: float) -> str:
        """Make a host the gate of the server; return its fencing token.

        Raises
        ------
        RuntimeError
            If the server refuses the grant.
        """
        self._sequence += 1
        fence = agatestile.Fence(TERM, self._sequence).to_text()
        request, exchange = self._lease.prepare(
            "north", TERM, now, fence, host
        )
        reply = server.book.handle(request, now)
        self._lease.receive(exchange, reply, now)
        if not reply.accepted:
            raise RuntimeError(
                f"the grant to {host} was refused: {reply.reason}"
            )
        return fence


def make_state() -> agatestile.ClusterState:
    """Return the state after applying the records of a log.

    Raises
    ------
    RuntimeError
        If the state refuses the assignment of the server.
    """
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
    (initial_range,) = state.ranges_by_service["ledger"]
    change = agatestile.RangeChange(
        "ledger",
        initial_range.start,
        initial_range.end,
        (initial_range.version,),
        SERVER,
    )
    term = TERM._replace(epoch=0)
    result = state.apply(2, agatestile.Assign("3", "north", term, (change,)))
    if isinstance(result, agatestile.Refusal):
        raise RuntimeError(f"the assignment was refused: {result.reason}")
    return state


def main() -> list[str]:
    """Move a server from one host to another; return the results."""
    state, server, leader = make_state(), Server(now=0.0), Leader()
    first, second = Host(state), Host(state)
    events = []
    leader.read_clock(server, now=2.0)
    fence = leader.grant(server, "host-a", now=2.0)
    first.apply_heartbeat_reply(fence, 1, now=2.0)
    events.append(f"host-a: {first.send(server, 'account 7', now=2.1)}")
    events.append(f"host-b: {second.send(server, 'account 7', now=2.1)}")
    # host-a is paused here. The server refuses its fencing token at once;
    # after its lease has expired, host-a itself refuses to send.
    fence = leader.grant(server, "host-b", now=2.5)
    second.apply_heartbeat_reply(fence, 2, now=2.5)
    events.append(f"host-b: {second.send(server, 'account 7', now=2.6)}")
    events.append(f"host-a: {first.send(server, 'account 7', now=2.6)}")
    events.append(f"host-a: {first.send(server, 'account 7', now=4.0)}")
    return events


if __name__ == "__main__":
    print("\n".join(main()))
