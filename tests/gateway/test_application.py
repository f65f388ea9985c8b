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
from tests.gateway import harness

pytestmark = pytest.mark.anyio
CODES = codes.ResultCode
QUICK = options.Options(
    header_limit=4096, head_timeout=0.3, body_idle_timeout=0.2
)


async def _respond_ok(request: harness.Request) -> None:
    await request.body()
    await request.respond()


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
    async with harness.running_gateway(_respond_ok) as gateway:
        reply = await gateway.send_request(target, method, **headers)
        following = await gateway.send_request()
    assert (reply.code, reply.run_state) == (code, "not-run")
    assert following.code == CODES.ANSWERED
    assert len(gateway.server.requests) == 1


async def test_key_may_come_in_a_header() -> None:
    async with harness.running_gateway(_respond_ok) as gateway:
        reply = await gateway.send_request("/prices", x_agatestile_key="k")
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
    async with harness.running_gateway(_respond_ok, QUICK) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        writer.write(data)
        with anyio.fail_after(3):
            reply = await harness.read_reply(reader, writer)
        following = await gateway.send_request()
    assert (reply.code, reply.run_state) == (code, "not-run")
    assert following.code == CODES.ANSWERED
    assert len(gateway.server.requests) == 1


async def test_connection_without_a_request_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "KEEP_ALIVE_SECONDS", 1)
    async with harness.running_gateway(_respond_ok, QUICK) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        with anyio.fail_after(4):
            assert await reader.read() == b""
        writer.close()


async def test_connection_opened_ahead_of_use_is_kept() -> None:
    # A balancer's first request on it must not meet a closed connection.
    async with harness.running_gateway(_respond_ok, QUICK) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        await anyio.sleep(2 * QUICK.head_timeout)
        writer.write(b"GET /prices/k HTTP/1.1\r\nconnection: close\r\n\r\n")
        reply = await harness.read_reply(reader, writer)
    assert reply.code == CODES.ANSWERED


async def test_declared_body_above_the_limit_gets_its_code() -> None:
    # Closing at once would reset the connection and lose the code.
    async with harness.running_gateway(
        _respond_ok, body_limit=1_000_000
    ) as gateway:
        reply = await gateway.send_request(
            method="POST", body=bytes(3_000_000)
        )
    assert (reply.code, reply.status) == (CODES.BODY_TOO_LARGE, 413)
    assert not gateway.server.requests


async def test_undeclared_body_above_the_limit_is_not_called_not_run() -> None:
    # The server has a part of it by then and may have begun.
    async def take_all(request: harness.Request) -> None:
        await request.reader.read()

    async with harness.running_gateway(
        take_all, body_limit=300_000
    ) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        writer.write(
            b"POST /prices/k HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        for _ in range(4):
            writer.write(b"186a0\r\n" + bytes(100_000) + b"\r\n")
            await anyio.sleep(0.02)
        reply = await harness.read_reply(reader, writer)
    assert (reply.code, reply.run_state) == (CODES.OUTCOME_UNKNOWN, "unknown")


async def test_chunked_upload_arrives_whole() -> None:
    got = b""

    async def chunks(request: harness.Request) -> None:
        nonlocal got
        while not got.endswith(b"0\r\n\r\n"):
            got += await request.reader.read(65536)
        await request.respond()

    async with harness.running_gateway(chunks) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        writer.write(
            b"POST /prices/k HTTP/1.1\r\nconnection: close\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        for _ in range(3):
            writer.write(b"186a0\r\n" + b"a" * 100_000 + b"\r\n")
            await anyio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        reply = await harness.read_reply(reader, writer)
    assert reply.code == CODES.ANSWERED
    assert got.count(b"a") >= 300_000


async def test_answer_before_the_end_of_an_upload_is_passed_on() -> None:
    # Sending on to a server that has answered would wait for ever.
    async def refuse_early(request: harness.Request) -> None:
        await request.respond(
            b"HTTP/1.1 503 x\r\nx-refused: shed\r\ncontent-length: 0\r\n\r\n"
        )
        await asyncio.sleep(5)

    async with harness.running_gateway(
        refuse_early, timeout_ms=5000
    ) as gateway:
        with anyio.fail_after(3):
            reply = await gateway.send_request(
                method="POST", body=bytes(20_000_000)
            )
    assert (reply.code, reply.run_state) == (CODES.SERVER_SHED, "not-run")


async def test_shutdown_finishes_an_upload_and_refuses_new_work() -> None:
    async with harness.running_gateway(_respond_ok) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        writer.write(
            b"POST /prices/k HTTP/1.1\r\nconnection: close\r\n"
            b"content-length: 200000\r\n\r\n" + bytes(100_000)
        )
        await anyio.sleep(0.05)
        gateway.application.begin_shutdown()
        refused = await gateway.send_request()
        assert gateway.application.requests_in_progress == 1
        for some in gateway.listeners:
            some.stop()
        await anyio.sleep(0.2)
        writer.write(bytes(100_000))
        reply = await harness.read_reply(reader, writer)
        with anyio.fail_after(1):
            await gateway.application.wait_until_drained()
    assert refused.code == CODES.SHUTTING_DOWN
    assert (reply.code, reply.body) == (CODES.ANSWERED, b"ok")


async def test_each_request_logs_one_decision(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    async with harness.running_gateway(_respond_ok) as gateway:
        await gateway.send_request()
        await gateway.send_request("/nothing/k")
    lines = [text for text in caplog.messages if text.startswith("route: ")]
    assert len(lines) == 2
    assert "server=p1 gate=h1 code=0 ANSWERED" in lines[0]
    assert "code=101 UNKNOWN_SERVICE: the table has no" in lines[1]


async def _entry(
    gateway: harness.RunningGateway, forward: str
) -> listener.Listener:
    """Run an entry host that forwards to the scene's gateway."""
    state = harness.build_state(gateway.server.address)
    entry = application.Application(
        "h2",
        state,
        router.Router(state, harness.build_views("h1", forward)),
        harness.Permits("none"),
        invariants.Invariants(),
    )
    made = listener.Listener(
        entry.serve_callers, "127.0.0.1:0", options.Options()
    )
    await gateway.tasks.start(made.run)
    await gateway.tasks.start(entry.run)
    return made


async def test_entry_forwards_once_and_passes_headers_on() -> None:
    async with harness.running_gateway(_respond_ok) as gateway:
        entry = await _entry(gateway, gateway.forward_address)
        reply = await harness.send_request(
            entry.address, "/prices/k?q=1", "POST", b"body"
        )
    assert (reply.code, reply.body, reply.run_state) == (0, b"ok", "run")
    assert reply.headers["x-agatestile-owner"] == "p1"
    assert gateway.server.requests[0].line.startswith("POST /prices/k?q=1 ")


async def test_forward_address_answers_not_gate() -> None:
    async with harness.running_gateway(_respond_ok) as gateway:
        gateway.permits.server = "other"
        reply = await harness.send_request(gateway.forward_address)
    assert (reply.code, reply.run_state) == (CODES.NOT_GATE, "not-run")


async def test_entry_keeps_the_code_of_the_gate() -> None:
    async def drop(request: harness.Request) -> None:
        request.writer.close()

    async with harness.running_gateway(drop) as gateway:
        entry = await _entry(gateway, gateway.forward_address)
        reply = await harness.send_request(entry.address, method="POST")
    assert (reply.code, reply.run_state) == (CODES.OUTCOME_UNKNOWN, "unknown")
    assert len(gateway.server.requests) == 1


async def test_entry_whose_gate_is_lost_tells_that_nothing_ran() -> None:
    async with harness.running_gateway(_respond_ok) as gateway:
        entry = await _entry(gateway, "127.0.0.1:1")
        reply = await harness.send_request(entry.address, method="POST")
    assert (reply.code, reply.run_state) == (CODES.NO_GATE, "not-run")


async def test_stranger_at_the_gate_address_is_not_believed() -> None:
    # Its answer has no result code, so it is not one of our daemons.
    async with harness.running_gateway(_respond_ok) as gateway:
        entry = await _entry(gateway, gateway.server.address)
        reply = await harness.send_request(entry.address, method="POST")
    assert (reply.code, reply.run_state) == (CODES.ANSWER_BROKEN, "unknown")


async def test_work_for_a_domain_taken_out_stops_within_its_bound() -> None:
    async with harness.running_gateway(_respond_ok) as gateway:
        gates = gateway.application.gates
        gates._leaving_since = {"p1": anyio.current_time() - 3.0}
        reply = await gateway.send_request()
    assert (reply.code, reply.run_state) == (CODES.DOMAIN_OUT, "not-run")
