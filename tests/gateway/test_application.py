"""The application on both addresses, over loopback connections."""

from __future__ import annotations

import asyncio
import logging

import anyio
import pytest

from agatestile.gateway import application
from agatestile.gateway import listener
from agatestile.gateway import options
from agatestile.observability import invariants
from agatestile.results import codes
from agatestile.routing import router
from tests.gateway import scenes

pytestmark = pytest.mark.anyio
CODES = codes.ResultCode
QUICK = options.Options(
    header_limit=4096, head_timeout=0.3, body_idle_timeout=0.2
)


async def _ok(request: scenes.Request) -> None:
    await request.body()
    await request.answer()


@pytest.mark.parametrize(
    ("target", "method", "headers", "code"),
    [
        ("/nothing/k", "GET", {}, CODES.UNKNOWN_SERVICE),
        ("/prices", "GET", {}, CODES.MISSING_KEY),
        ("/prices/", "GET", {}, CODES.MISSING_KEY),
        ("/", "GET", {}, CODES.MISSING_KEY),
        ("/prices/k", "TRACE", {}, CODES.METHOD_NOT_ALLOWED),
        ("/prices/a/../k", "GET", {}, CODES.BAD_REQUEST),
        (
            "/prices/k",
            "GET",
            {"x_agatestile_timeout_ms": "soon"},
            CODES.BAD_REQUEST,
        ),
        (
            "/prices/k",
            "POST",
            {"x_agatestile_request_id": "x" * 200},
            CODES.BAD_REQUEST,
        ),
        (
            "/prices/k",
            "GET",
            {"x_agatestile_timeout_ms": "0"},
            CODES.DEADLINE_PASSED,
        ),
    ],
)
async def test_bad_request_gets_its_code_and_reaches_no_server(
    target: str, method: str, headers: dict[str, str], code: int
) -> None:
    async with scenes.scene(_ok) as scene:
        reply = await scene.ask(target, method, **headers)
        following = await scene.ask()
    assert (reply.code, reply.run) == (code, "not-run")
    assert following.code == CODES.ANSWERED
    assert len(scene.server.requests) == 1


async def test_key_may_come_in_a_header() -> None:
    async with scenes.scene(_ok) as scene:
        reply = await scene.ask("/prices", x_agatestile_key="k")
    assert reply.code == CODES.ANSWERED


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"nonsense\r\n\r\n", CODES.BAD_REQUEST),
        (b"GET /prices/k HTTP/1.1\r\nx: " + b"a" * 9000, 105),
        (
            b"GET /prices/k HTTP/1.1\r\n" + b"x: a\r\n" * 900 + b"\r\n",
            CODES.HEADERS_TOO_LARGE,
        ),
        (b"GET /prices/k HTTP/1.1\r\nx: ", CODES.SLOW_SENDER),
        (
            b"POST /prices/k HTTP/1.1\r\ncontent-length: 9\r\n\r\npart",
            CODES.SLOW_SENDER,
        ),
        (
            b"POST /prices/k HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
            b"nonsense\r\n",
            CODES.BAD_REQUEST,
        ),
        (
            b"POST /prices/k HTTP/1.1\r\ncontent-length: 1\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            CODES.BAD_REQUEST,
        ),
    ],
)
async def test_malformed_flooding_or_slow_sender_gets_its_code(
    data: bytes, code: int
) -> None:
    async with scenes.scene(_ok, QUICK) as scene:
        reader, writer = await scenes.connect(scene.callers)
        writer.write(data)
        with anyio.fail_after(3):
            reply = await scenes.read(reader, writer)
        following = await scene.ask()
    assert (reply.code, reply.run) == (code, "not-run")
    assert following.code == CODES.ANSWERED
    assert len(scene.server.requests) == 1


async def test_connection_without_a_request_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "KEEP_ALIVE_SECONDS", 1)
    async with scenes.scene(_ok, QUICK) as scene:
        reader, writer = await scenes.connect(scene.callers)
        with anyio.fail_after(4):
            assert await reader.read() == b""
        writer.close()


async def test_connection_opened_ahead_of_use_is_kept() -> None:
    # A balancer's first request on it must not meet a closed connection.
    async with scenes.scene(_ok, QUICK) as scene:
        reader, writer = await scenes.connect(scene.callers)
        await anyio.sleep(2 * QUICK.head_timeout)
        writer.write(b"GET /prices/k HTTP/1.1\r\nconnection: close\r\n\r\n")
        reply = await scenes.read(reader, writer)
    assert reply.code == CODES.ANSWERED


async def test_declared_body_above_the_limit_gets_its_code() -> None:
    # Closing at once would reset the connection and lose the code.
    async with scenes.scene(_ok, body_limit=1_000_000) as scene:
        reply = await scene.ask(method="POST", body=bytes(3_000_000))
    assert (reply.code, reply.status) == (CODES.BODY_TOO_LARGE, 413)
    assert not scene.server.requests


async def test_undeclared_body_above_the_limit_is_not_called_not_run() -> None:
    # The server has a part of it by then and may have begun.
    async def take_all(request: scenes.Request) -> None:
        await request.reader.read()

    async with scenes.scene(take_all, body_limit=300_000) as scene:
        reader, writer = await scenes.connect(scene.callers)
        writer.write(
            b"POST /prices/k HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        for _ in range(4):
            writer.write(b"186a0\r\n" + bytes(100_000) + b"\r\n")
            await anyio.sleep(0.02)
        reply = await scenes.read(reader, writer)
    assert (reply.code, reply.run) == (CODES.OUTCOME_UNKNOWN, "unknown")


async def test_chunked_upload_arrives_whole() -> None:
    got = b""

    async def chunks(request: scenes.Request) -> None:
        nonlocal got
        while not got.endswith(b"0\r\n\r\n"):
            got += await request.reader.read(65536)
        await request.answer()

    async with scenes.scene(chunks) as scene:
        reader, writer = await scenes.connect(scene.callers)
        writer.write(
            b"POST /prices/k HTTP/1.1\r\nconnection: close\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        for _ in range(3):
            writer.write(b"186a0\r\n" + b"a" * 100_000 + b"\r\n")
            await anyio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        reply = await scenes.read(reader, writer)
    assert reply.code == CODES.ANSWERED
    assert got.count(b"a") >= 300_000


async def test_answer_before_the_end_of_an_upload_is_passed_on() -> None:
    # Sending on to a server that has answered would wait for ever.
    async def refuse_early(request: scenes.Request) -> None:
        await request.answer(
            b"HTTP/1.1 503 x\r\nx-refused: shed\r\ncontent-length: 0\r\n\r\n"
        )
        await asyncio.sleep(5)

    async with scenes.scene(refuse_early, timeout_ms=5000) as scene:
        with anyio.fail_after(3):
            reply = await scene.ask(method="POST", body=bytes(20_000_000))
    assert (reply.code, reply.run) == (CODES.SERVER_SHED, "not-run")


async def test_shutdown_finishes_an_upload_and_refuses_new_work() -> None:
    async with scenes.scene(_ok) as scene:
        reader, writer = await scenes.connect(scene.callers)
        writer.write(
            b"POST /prices/k HTTP/1.1\r\nconnection: close\r\n"
            b"content-length: 200000\r\n\r\n" + bytes(100_000)
        )
        await anyio.sleep(0.05)
        scene.gateway.begin_shutdown()
        refused = await scene.ask()
        assert scene.gateway.requests_in_progress == 1
        for some in scene.listeners:
            some.stop()
        await anyio.sleep(0.2)
        writer.write(bytes(100_000))
        reply = await scenes.read(reader, writer)
        with anyio.fail_after(1):
            await scene.gateway.wait_until_drained()
    assert refused.code == CODES.SHUTTING_DOWN
    assert (reply.code, reply.body) == (CODES.ANSWERED, b"ok")


async def test_each_request_logs_one_decision(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    async with scenes.scene(_ok) as scene:
        await scene.ask()
        await scene.ask("/nothing/k")
    lines = [text for text in caplog.messages if text.startswith("route: ")]
    assert len(lines) == 2
    assert "server=p1 gate=h1 code=0 ANSWERED" in lines[0]
    assert "code=101 UNKNOWN_SERVICE: the table has no" in lines[1]


async def _entry(scene: scenes.Scene, forward: str) -> listener.Listener:
    """Run an entry host that forwards to the scene's gateway."""
    state = scenes.state_of(scene.server.address)
    entry = application.Application(
        "h2",
        state,
        router.Router(state, scenes.views_of("h1", forward)),
        scenes.Permits("none"),
        invariants.Invariants(),
    )
    made = listener.Listener(
        entry.serve_callers, "127.0.0.1:0", options.Options()
    )
    await scene.tasks.start(made.run)
    await scene.tasks.start(entry.run)
    return made


async def test_entry_forwards_once_and_passes_headers_on() -> None:
    async with scenes.scene(_ok) as scene:
        entry = await _entry(scene, scene.forward)
        reply = await scenes.ask(
            entry.address, "/prices/k?q=1", "POST", b"body"
        )
    assert (reply.code, reply.body, reply.run) == (0, b"ok", "run")
    assert reply.headers["x-agatestile-owner"] == "p1"
    assert scene.server.requests[0].line.startswith("POST /prices/k?q=1 ")


async def test_forward_address_answers_not_gate() -> None:
    async with scenes.scene(_ok) as scene:
        scene.permits.server = "other"
        reply = await scenes.ask(scene.forward)
    assert (reply.code, reply.run) == (CODES.NOT_GATE, "not-run")


async def test_entry_keeps_the_code_of_the_gate() -> None:
    async def drop(request: scenes.Request) -> None:
        request.writer.close()

    async with scenes.scene(drop) as scene:
        entry = await _entry(scene, scene.forward)
        reply = await scenes.ask(entry.address, method="POST")
    assert (reply.code, reply.run) == (CODES.OUTCOME_UNKNOWN, "unknown")
    assert len(scene.server.requests) == 1


async def test_entry_whose_gate_is_lost_tells_that_nothing_ran() -> None:
    async with scenes.scene(_ok) as scene:
        entry = await _entry(scene, "127.0.0.1:1")
        reply = await scenes.ask(entry.address, method="POST")
    assert (reply.code, reply.run) == (CODES.NO_GATE, "not-run")


async def test_stranger_at_the_gate_address_is_not_believed() -> None:
    # Its answer has no result code, so it is not one of our daemons.
    async with scenes.scene(_ok) as scene:
        entry = await _entry(scene, scene.server.address)
        reply = await scenes.ask(entry.address, method="POST")
    assert (reply.code, reply.run) == (CODES.ANSWER_BROKEN, "unknown")


async def test_work_for_a_domain_taken_out_stops_within_its_bound() -> None:
    async with scenes.scene(_ok) as scene:
        gates = scene.gateway.gates
        gates._leaving_since = {"p1": anyio.current_time() - 3.0}
        reply = await scene.ask()
    assert (reply.code, reply.run) == (CODES.DOMAIN_OUT, "not-run")
