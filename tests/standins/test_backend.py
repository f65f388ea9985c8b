"""Tests of the stand-in backend server over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import typing

import httpcore
import pytest

from standins import backend
from standins import backend_settings

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator

TERM = [3, 1, "entry-1#a"]
FENCE = "3.1.1.entry-1#a"


@contextlib.asynccontextmanager
async def _running_server(**settings: typing.Any) -> AsyncIterator[_Caller]:
    listener = backend.Listener(
        backend_settings.ServerSettings(
            "price-01", "price", "radom", **settings
        ),
        "127.0.0.1",
    )
    await listener.open()
    async with httpcore.AsyncConnectionPool() as pool:
        yield _Caller(pool, listener)
        listener.close()


class _Caller:
    def __init__(
        self, pool: httpcore.AsyncConnectionPool, listener: backend.Listener
    ) -> None:
        self.pool = pool
        self.listener = listener

    async def send(
        self,
        path: str,
        body: object = None,
        method: str = "POST",
        **headers: str,
    ) -> tuple[int, dict[str, typing.Any]]:
        content = json.dumps(body).encode() if body is not None else b""
        request_headers = {
            key.replace("_", "-"): value for key, value in headers.items()
        }
        response = await self.pool.request(
            method,
            f"http://127.0.0.1:{self.listener.port}{path}",
            headers=request_headers,
            content=content,
            extensions={"timeout": {"read": 2.0, "connect": 2.0}},
        )
        return response.status, json.loads(response.content.rstrip(b"."))

    async def obtain_fence(self) -> dict[str, typing.Any]:
        request = {
            "domain": "radom",
            "term": TERM,
            "leader_ms": 100,
            "fence": FENCE,
            "gate": "entry-1",
            "serve_ms": 200,
        }
        _, first = await self.send("/grant", request)
        assert not first["accepted"]
        await asyncio.sleep(0.11)
        _, fresh = await self.send("/grant", request)
        request["stamp"] = fresh["stamp"]
        _, reply = await self.send("/grant", request)
        return reply


@pytest.mark.anyio
async def test_request_needs_a_current_fence() -> None:
    """Guards against running requests of a gate whose lease has expired."""
    async with _running_server() as caller:
        assert (await caller.send("/price/a", x_fence=FENCE))[0] == 409
        assert (await caller.obtain_fence())["accepted"]
        assert (await caller.send("/price/a", x_fence=FENCE))[0] == 200
        other = FENCE.replace("entry-1", "entry-2")
        assert (await caller.send("/price/a", x_fence=other))[0] == 409
        await asyncio.sleep(0.25)
        status, body = await caller.send("/price/a", x_fence=FENCE)
        assert (status, body["refused"]) == (409, "fence")


@pytest.mark.anyio
async def test_running_requests_never_exceed_the_slots() -> None:
    """Guards against concurrency counters that hide an excess.

    `bench.verdict` compares them with the slots.
    """
    async with _running_server(fenced=False, slots=2, service_ms=50) as caller:
        responses = await asyncio.gather(
            *(caller.send(f"/price/{n}", x_request_id=f"r{n}") for n in "abc")
        )
        assert sorted(status for status, _ in responses) == [200, 200, 503]
        _, report = await caller.send("/executions", method="GET")
        assert report["highest_running"] == 2
        assert report["highest_offered"] == 3
        assert sum(report["executions"].values()) == 2


@pytest.mark.anyio
async def test_deadline_and_closed_connection_free_the_slot() -> None:
    """Guards against requests that keep a slot when nobody waits for them.

    Their deadline has passed or their connection is closed.
    """
    async with _running_server(
        fenced=False, slots=1, service_ms=5000
    ) as caller:
        status, body = await caller.send("/price/a", x_deadline_ms="30")
        assert (status, body["started"]) == (504, True)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(caller.send("/price/b"), 0.1)
        await asyncio.sleep(0.1)
        _, report = await caller.send("/state", method="GET")
        assert report["running"] == 0
        assert report["counts"]["cancelled"] == 1


@pytest.mark.anyio
async def test_response_echoes_its_own_request() -> None:
    """Guards against an echo that does not distinguish two requests."""
    async with _running_server(fenced=False) as caller:
        _, one = await caller.send("/price/a/b", body="x", x_request_id="1")
        _, two = await caller.send(
            "/price", body="y", x_agatestile_key="c", x_answer_bytes="200000"
        )
        assert (one["key"], one["id"], one["received"]) == ("a/b", "1", 3)
        assert (two["key"], two["size"]) == ("c", 200000)
        assert one["digest"] != two["digest"]


@pytest.mark.anyio
async def test_overloaded_cold_server_crashes_and_restarts_cold() -> None:
    """Guards against a stand-in that tolerates a missing slow start."""
    async with _running_server(
        fenced=False, cold_seconds=5, cold_rate=1, down_seconds=0.2
    ) as caller:
        incarnation = caller.listener.server.incarnation
        failures = (
            httpcore.NetworkError,
            httpcore.RemoteProtocolError,
        )
        with pytest.raises(failures):
            for _ in range(20):
                await caller.send("/price/a")
        with pytest.raises(failures):
            await caller.send("/price/a")
        await asyncio.sleep(0.3)
        _, report = await caller.send("/state", method="GET")
        assert report["incarnation"] != incarnation
        assert report["status"] == "cold"
        assert report["counts"]["fell_over"] == 1


@pytest.mark.anyio
async def test_silent_server_ignores_only_open_connections() -> None:
    """Guards against a whole server going silent.

    Tests of dead connections would then test dead servers instead.
    """
    async with _running_server(fenced=False) as caller:
        await caller.send("/price/a")
        async with httpcore.AsyncConnectionPool() as other:
            port = caller.listener.port
            await other.request(
                "POST",
                f"http://127.0.0.1:{port}/control",
                content=b'{"silent": true}',
            )
        with pytest.raises(httpcore.ReadTimeout):
            await caller.send("/price/a")
        assert (await caller.send("/price/a"))[0] == 200


@pytest.mark.anyio
async def test_truncated_response_closes_the_connection() -> None:
    """Guards against a truncated response that ends as if complete."""
    async with _running_server(fenced=False) as caller:
        await caller.send("/control", {"cut": 1})
        with pytest.raises(httpcore.RemoteProtocolError):
            await caller.send("/price/a", x_answer_bytes="5000")
        assert (await caller.send("/price/a"))[0] == 200
