"""Tests the application on both addresses over loopback connections."""

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
SHORT_LIMITS = options.Options(
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
    """Guards against forwarding an invalid request or refusing it vaguely."""
    async with harness.running_gateway(_respond_ok) as gateway:
        response = await gateway.send_request(target, method, **headers)
        next_response = await gateway.send_request()
    assert (response.code, response.run_state) == (code, "not-run")
    assert next_response.code == CODES.ANSWERED
    assert len(gateway.server.requests) == 1


async def test_key_may_come_in_a_header() -> None:
    """Guards against refusing a request whose key is not in the path."""
    async with harness.running_gateway(_respond_ok) as gateway:
        response = await gateway.send_request("/prices", x_agatestile_key="k")
    assert response.code == CODES.ANSWERED


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
async def test_malformed_oversized_or_slow_request_gets_its_code(
    data: bytes, code: int
) -> None:
    """Guards against senders that hold a connection or fill the memory.

    The head or the body is invalid, too large or stops arriving.
    """
    async with harness.running_gateway(_respond_ok, SHORT_LIMITS) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        writer.write(data)
        with anyio.fail_after(3):
            response = await harness.read_response(reader, writer)
        next_response = await gateway.send_request()
    assert (response.code, response.run_state) == (code, "not-run")
    assert next_response.code == CODES.ANSWERED
    assert len(gateway.server.requests) == 1


POST = b"POST /prices/k HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"
SLOW_HEAD = b"GET /prices/k HTTP/1.1\r\nx: "
NONSENSE = b"nonsense\r\n\r\n"


@pytest.mark.parametrize(
    ("writes", "codes_in_order"),
    [
        ([POST + NONSENSE], [0, 100]),
        ([POST, NONSENSE], [0, 100]),
        ([POST + POST + NONSENSE], [0, 0, 100]),
        ([POST, SLOW_HEAD], [0, 106]),
        ([POST + POST, SLOW_HEAD], [0, 0, 106]),
        ([POST, SLOW_HEAD + b"a" * 9000], [0, 105]),
    ],
)
@pytest.mark.parametrize("is_queued", [False, True])
async def test_refusal_of_later_input_is_no_answer_to_a_request_that_runs(
    is_queued: bool, writes: list[bytes], codes_in_order: list[int]
) -> None:
    """Guards against a "not run" for a request that is running or queued."""
    released = asyncio.Event()

    async def respond_later(request: harness.Request) -> None:
        await released.wait()
        await request.respond()

    async with harness.running_gateway(
        respond_later, SHORT_LIMITS, slots=1
    ) as gateway:
        first = asyncio.create_task(
            gateway.send_request() if is_queued else asyncio.sleep(0)
        )
        await anyio.sleep(0.05)
        reader, writer = await harness.connect(gateway.callers_address)
        for data in writes:
            writer.write(data)
            await anyio.sleep(0.05)
        await anyio.sleep(2 * SHORT_LIMITS.head_timeout)
        released.set()
        with anyio.fail_after(3):
            responses = await harness.read_responses(reader, writer)
        await first
    assert [response.code for response in responses] == codes_in_order
    run_states = [response.run_state for response in responses]
    assert run_states.count("run") == len(codes_in_order) - 1
    assert len(gateway.server.requests) == len(codes_in_order) - 1 + is_queued


async def test_upload_that_is_refused_in_the_queue_reaches_no_server() -> None:
    """Guards against an upload that is sent after its refusal as not run."""
    released = asyncio.Event()

    async def respond_later(request: harness.Request) -> None:
        await released.wait()
        await request.respond()

    async with harness.running_gateway(respond_later, slots=1) as gateway:
        first = asyncio.create_task(gateway.send_request())
        await anyio.sleep(0.05)
        reader, writer = await harness.connect(gateway.callers_address)
        head = b"POST /prices/k HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        writer.write(head + b"11000\r\n" + b"b" * 0x11000 + b"\r\n")
        await anyio.sleep(0.05)
        writer.write(NONSENSE)
        with anyio.fail_after(3):
            answer = await reader.readuntil(b"}")
        released.set()
        await first
        await anyio.sleep(0.1)
        writer.close()
    assert b"x-agatestile-run: not-run" in answer
    assert len(gateway.server.requests) == 1


async def test_connection_without_a_request_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against idle connections that are never closed."""
    monkeypatch.setattr(listener, "KEEP_ALIVE_SECONDS", 1)
    async with harness.running_gateway(_respond_ok, SHORT_LIMITS) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        with anyio.fail_after(4):
            assert await reader.read() == b""
        writer.close()


async def test_connection_opened_ahead_of_use_is_kept() -> None:
    """Guards against closing a connection that a balancer opened early.

    Its first request would fail on the closed connection.
    """
    async with harness.running_gateway(_respond_ok, SHORT_LIMITS) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        await anyio.sleep(2 * SHORT_LIMITS.head_timeout)
        writer.write(b"GET /prices/k HTTP/1.1\r\nconnection: close\r\n\r\n")
        response = await harness.read_response(reader, writer)
    assert response.code == CODES.ANSWERED


async def test_declared_body_above_the_limit_gets_its_code() -> None:
    """Guards against a reset that discards the refusal.

    It would occur if the connection were closed while the caller sends.
    """
    async with harness.running_gateway(
        _respond_ok, body_limit=1_000_000
    ) as gateway:
        response = await gateway.send_request(
            method="POST", body=bytes(3_000_000)
        )
    assert (response.code, response.status) == (CODES.BODY_TOO_LARGE, 413)
    assert not gateway.server.requests


async def test_undeclared_body_above_the_limit_has_unknown_outcome() -> None:
    """Guards against a false "not run".

    The server has received a part of the body and may have started.
    """

    async def read_all(request: harness.Request) -> None:
        await request.reader.read()

    async with harness.running_gateway(
        read_all, body_limit=300_000
    ) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        writer.write(
            b"POST /prices/k HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        for _ in range(4):
            writer.write(b"186a0\r\n" + bytes(100_000) + b"\r\n")
            await anyio.sleep(0.02)
        response = await harness.read_response(reader, writer)
    assert (response.code, response.run_state) == (
        CODES.OUTCOME_UNKNOWN,
        "unknown",
    )


async def test_chunked_upload_arrives_complete() -> None:
    """Guards against losing a part of a body without content-length."""
    received = b""

    async def read_chunks(request: harness.Request) -> None:
        nonlocal received
        while not received.endswith(b"0\r\n\r\n"):
            received += await request.reader.read(65536)
        await request.respond()

    async with harness.running_gateway(read_chunks) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        writer.write(
            b"POST /prices/k HTTP/1.1\r\nconnection: close\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        for _ in range(3):
            writer.write(b"186a0\r\n" + b"a" * 100_000 + b"\r\n")
            await anyio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        response = await harness.read_response(reader, writer)
    assert response.code == CODES.ANSWERED
    assert received.count(b"a") >= 300_000


async def test_response_before_the_end_of_an_upload_is_forwarded() -> None:
    """Guards against waiting for ever to send to a server that responded."""

    async def refuse_early(request: harness.Request) -> None:
        await request.respond(
            b"HTTP/1.1 503 x\r\nx-refused: shed\r\ncontent-length: 0\r\n\r\n"
        )
        await asyncio.sleep(5)

    async with harness.running_gateway(
        refuse_early, timeout_ms=5000
    ) as gateway:
        with anyio.fail_after(3):
            response = await gateway.send_request(
                method="POST", body=bytes(20_000_000)
            )
    assert (response.code, response.run_state) == (
        CODES.SERVER_SHED,
        "not-run",
    )


async def test_shutdown_finishes_an_upload_and_refuses_new_requests() -> None:
    """Guards against a shutdown that interrupts requests in progress."""
    async with harness.running_gateway(_respond_ok) as gateway:
        reader, writer = await harness.connect(gateway.callers_address)
        writer.write(
            b"POST /prices/k HTTP/1.1\r\nconnection: close\r\n"
            b"content-length: 200000\r\n\r\n" + bytes(100_000)
        )
        await anyio.sleep(0.05)
        gateway.application.begin_shutdown()
        refused_response = await gateway.send_request()
        assert gateway.application.requests_in_progress == 1
        for running_listener in gateway.listeners:
            running_listener.stop()
        await anyio.sleep(0.2)
        writer.write(bytes(100_000))
        response = await harness.read_response(reader, writer)
        with anyio.fail_after(1):
            await gateway.application.wait_until_drained()
    assert refused_response.code == CODES.SHUTTING_DOWN
    assert (response.code, response.body) == (CODES.ANSWERED, b"ok")


async def test_each_request_logs_one_decision(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against requests that cannot be traced in the log."""
    caplog.set_level(logging.INFO)
    async with harness.running_gateway(_respond_ok) as gateway:
        await gateway.send_request()
        await gateway.send_request("/nothing/k")
    lines = [text for text in caplog.messages if text.startswith("route: ")]
    assert len(lines) == 2
    assert "server=p1 gate=h1 code=0 ANSWERED" in lines[0]
    assert "code=101 UNKNOWN_SERVICE: the table has no" in lines[1]


async def _start_entry(
    gateway: harness.RunningGateway, gate_address: str
) -> listener.Listener:
    """Start an entry host that forwards to a gate address."""
    state = harness.build_state(gateway.server.address)
    entry = application.Application(
        "h2",
        state,
        router.Router(state, harness.build_views("h1", gate_address)),
        harness.Permits("none"),
        invariants.Invariants(),
    )
    entry_listener = listener.Listener(
        entry.serve_callers, "127.0.0.1:0", options.Options()
    )
    await gateway.tasks.start(entry_listener.run)
    await gateway.tasks.start(entry.run)
    return entry_listener


async def test_entry_forwards_once_and_keeps_result_headers() -> None:
    """Guards against losing the request or the headers of the gate."""
    async with harness.running_gateway(_respond_ok) as gateway:
        entry = await _start_entry(gateway, gateway.forward_address)
        response = await harness.send_request(
            entry.address, "/prices/k?q=1", "POST", b"body"
        )
    assert (response.code, response.body, response.run_state) == (
        0,
        b"ok",
        "run",
    )
    assert response.headers["x-agatestile-owner"] == "p1"
    assert gateway.server.requests[0].line.startswith("POST /prices/k?q=1 ")


async def test_forward_address_refuses_if_the_host_is_not_the_gate() -> None:
    """Guards against forwarding a request a second time."""
    async with harness.running_gateway(_respond_ok) as gateway:
        gateway.permits.server = "other"
        response = await harness.send_request(gateway.forward_address)
    assert (response.code, response.run_state) == (CODES.NOT_GATE, "not-run")


async def test_entry_keeps_the_code_of_the_gate() -> None:
    """Guards against a second attempt by the entry host.

    The request may have run, as the server closed the connection.
    """

    async def close_connection(request: harness.Request) -> None:
        request.writer.close()

    async with harness.running_gateway(close_connection) as gateway:
        entry = await _start_entry(gateway, gateway.forward_address)
        response = await harness.send_request(entry.address, method="POST")
    assert (response.code, response.run_state) == (
        CODES.OUTCOME_UNKNOWN,
        "unknown",
    )
    assert len(gateway.server.requests) == 1


async def test_entry_reports_not_run_if_its_gate_is_unreachable() -> None:
    """Guards against an unknown outcome of a request that was never sent."""
    async with harness.running_gateway(_respond_ok) as gateway:
        entry = await _start_entry(gateway, "127.0.0.1:1")
        response = await harness.send_request(entry.address, method="POST")
    assert (response.code, response.run_state) == (CODES.NO_GATE, "not-run")


async def test_response_without_a_result_code_is_not_trusted() -> None:
    """Guards against a process that is not a daemon at the gate's address.

    Its response has no result code.
    """
    async with harness.running_gateway(_respond_ok) as gateway:
        entry = await _start_entry(gateway, gateway.server.address)
        response = await harness.send_request(entry.address, method="POST")
    assert (response.code, response.run_state) == (
        CODES.ANSWER_BROKEN,
        "unknown",
    )


async def test_requests_for_a_domain_taken_out_are_refused_in_time() -> None:
    """Guards against sending to a domain 3 s after it was taken out."""
    async with harness.running_gateway(_respond_ok) as gateway:
        gates = gateway.application.gates
        gates._leaving_since = {"p1": anyio.current_time() - 3.0}
        response = await gateway.send_request()
    assert (response.code, response.run_state) == (CODES.DOMAIN_OUT, "not-run")
