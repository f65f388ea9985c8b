"""How connections share the time for parsing."""

from __future__ import annotations

import asyncio
import typing

import pytest

from agatestile.catalog import configuration
from agatestile.transport import caller_guard
from agatestile.transport import messages
from agatestile.transport import parsing_turns
from agatestile.transport import server
from agatestile.transport import server_connection
from tests.transport import support

LIMITS = configuration.CallerLimits(2000, 10_000_000, 5.0, 5.0)
CHUNKED = b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
GET = b"GET /b HTTP/1.1\r\n\r\n"


class _Taker:
    def __init__(self, queue: parsing_turns.TurnQueue, turns: int) -> None:
        self._queue = queue
        self.left = turns

    def take_turn(self) -> None:
        self.left -= 1
        if self.left:
            self._queue.add(self)


class _Rounds:
    """Calls what is scheduled, one iteration of an event loop at a time."""

    def __init__(self) -> None:
        self.scheduled: list[typing.Callable[[], None]] = []

    def run(self) -> None:
        scheduled, self.scheduled = self.scheduled, []
        for call in scheduled:
            call()


def test_connections_take_turns() -> None:
    """Guards against a connection that keeps others from being parsed."""
    rounds = _Rounds()
    queue = parsing_turns.TurnQueue(lambda run: rounds.scheduled.append(run))
    takers = [_Taker(queue, 3) for _ in range(10)]
    for taker in takers:
        queue.add(taker)
    for _ in range(5):
        rounds.run()
    assert [taker.left for taker in takers] == [1] * 10
    for _ in range(5):
        rounds.run()
    assert not queue and not rounds.scheduled


def test_turns_are_short_while_others_wait() -> None:
    """Guards against many connections that each take a full turn."""
    rounds = _Rounds()
    queue = parsing_turns.TurnQueue(lambda run: rounds.scheduled.append(run))
    assert queue.allowed_work == parsing_turns.TURN_WORK
    taker = _Taker(queue, 1)
    queue.add(taker)
    queue.add(taker)
    assert queue.allowed_work == parsing_turns.SHORT_TURN_WORK
    queue.discard(taker)
    rounds.run()
    assert taker.left == 1


async def _handle(request: messages.Request) -> messages.Response:
    return messages.Response(200, [], request.target)


def _connect(
    guard: caller_guard.CallerGuard,
) -> tuple[server_connection.ServerConnection, support.RecordingTransport]:
    listener = server.Listener(_handle, lambda: LIMITS, guard)
    connection = server_connection.ServerConnection(listener)
    transport = support.RecordingTransport()
    connection.connection_made(typing.cast(asyncio.Transport, transport))
    return connection, transport


@pytest.mark.anyio
async def test_very_small_chunks_are_parsed_over_many_turns() -> None:
    """Guards against an event loop that one connection holds."""
    guard = caller_guard.CallerGuard()
    rounds = _Rounds()
    guard.turns = parsing_turns.TurnQueue(
        lambda run: rounds.scheduled.append(run)
    )
    connection, transport = _connect(guard)
    size = 10_000
    data = CHUNKED + b"1\r\na\r\n" * size + b"0\r\n\r\n"
    support.receive(connection, data)
    turns = 1
    while guard.turns:
        assert not transport.is_reading
        # Another connection is served meanwhile, whatever waits.
        other, other_transport = _connect(guard)
        support.receive(other, GET)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert other_transport.written.endswith(b"/b")
        rounds.run()
        turns += 1
    assert turns > size / parsing_turns.TURN_WORK
    for _ in range(3):
        await asyncio.sleep(0)
    assert transport.is_reading
    assert transport.written.endswith(b"/a")
