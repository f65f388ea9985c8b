"""Tests calls between daemons over loopback."""

from __future__ import annotations

import anyio
import pytest

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc import client as rpc_client
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.rpc import server as rpc_server


class _Handler:
    def heartbeat(self, heartbeat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        return ttypes.HeartbeatReply(
            leads=True,
            leader="entry-1",
            term=ttypes.Term(7, 1, "entry-1#a"),
            stamp=heartbeat.stamp,
            grants=[ttypes.GateGrant("price-01", "7.1.3.entry-1#a")],
            release=[],
        )

    def announce(self, domain: str, term: ttypes.Term, host: str) -> None:
        return None

    def snapshot(self) -> ttypes.Snapshot:
        return ttypes.Snapshot(offset=41, body=bytes(200_000))

    def status(self) -> str:
        return "{}"


@pytest.mark.anyio
async def test_call_returns_the_structs_that_the_peer_sent() -> None:
    """Guards against replies that are decoded wrongly or cut short."""
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(
            rpc_server.PeerServer(_Handler()).serve, "127.0.0.1", 0
        )
        peer = rpc_client.PeerClient("127.0.0.1", port, timeout=2.0)
        reply = await peer.call(
            "heartbeat", ttypes.Heartbeat(domain="radom", stamp=1.5)
        )
        assert reply.stamp == 1.5
        assert reply.grants[0].fence == "7.1.3.entry-1#a"
        snapshot = await peer.call("snapshot")
        assert len(snapshot.body) == 200_000
        await peer.close()
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_late_reply_never_answers_the_next_call() -> None:
    """Guards against taking the reply of a timed-out call for a later one."""
    connections = 0
    refused = anyio.Event()

    async def serve(stream: anyio.abc.SocketStream) -> None:
        nonlocal connections
        connections += 1
        async with stream:
            await stream.receive()
            if connections == 1:
                await refused.wait()
            await stream.send(b"\x00\x00\x00\x01x")

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        peer = rpc_client.PeerClient("127.0.0.1", port, timeout=1.0)
        first = await peer.call("status")
        refused.set()
        assert isinstance(first, outcomes.Refusal)
        assert first.code is codes.ResultCode.SERVER_UNREACHABLE
        await peer.call("status")
        assert connections == 2
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_unreachable_peer_is_refused_with_its_address() -> None:
    """Guards against an exception, or a refusal that names no peer."""
    peer = rpc_client.PeerClient("127.0.0.1", 1, timeout=0.5)
    answer = await peer.call("status")
    assert isinstance(answer, outcomes.Refusal)
    assert "127.0.0.1:1" in answer.reason
