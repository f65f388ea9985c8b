"""What servers that send without end cost, and who else notices."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import tracemalloc
import typing

import msgspec
import pytest

from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.entry import fleet as fleet_module
from agatestile.entry import view as view_module
from agatestile.node import messages as peer_messages
from agatestile.node import peers
from agatestile.node import reporter as reporter_module
from agatestile.node import settings as node_settings
from agatestile.platform import orders
from agatestile.platform import store
from agatestile.results import outcomes
from agatestile.store import port
from agatestile.transport import buffered_bytes
from agatestile.transport import client
from agatestile.transport import client_connection
from agatestile.transport import messages
from tests.node import support as node_support
from tests.transport import support

pytestmark = pytest.mark.anyio

HEAD = b"HTTP/1.1 200 OK\r\nx-id: 1\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
KEY_RANGE = ranges.KeyRange(0, 9, ranges.Owner("a", 1, 2))
REQUEST = messages.Request(b"GET", b"/", [], b"")

CALL_SECONDS = 3.0
"""Timeout of calls that are given up before it."""

HARNESS_BYTES = 2 * 1024 * 1024
"""Allowed for the server, which runs in the test's process."""


def _endless(start: bytes, piece: bytes) -> support.Serve:
    """Return a server that responds with `start` and pieces without end."""
    block = piece * (64 * 1024 // len(piece))

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        while True:
            writer.write(block)
            await writer.drain()

    return serve


def _chunks(size: int) -> support.Serve:
    return _endless(CHUNKED, b"%x\r\n%b\r\n" % (size, b"b" * size))


@contextlib.contextmanager
def _traced() -> collections.abc.Iterator[typing.Callable[[], int]]:
    """Yield a function that returns the peak of what was kept, bytes."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        yield lambda: tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    "serve",
    [
        _chunks(1),
        _chunks(2),
        _chunks(16),
        _chunks(4096),
        _endless(HEAD + b"\r\n", b"b"),
        _endless(HEAD + b"content-length: %d\r\n\r\n" % 2**60, b"b"),
        # Late responses to other requests, each with a body of one byte.
        _endless(
            b"", b"HTTP/1.1 200 OK\r\nx-id: 0\r\ncontent-length: 1\r\n\r\nb"
        ),
    ],
    ids=[
        "chunks of 1 byte",
        "chunks of 2 bytes",
        "chunks of 16 bytes",
        "chunks of 4096 bytes",
        "body until close",
        "declared length",
        "late responses",
    ],
)
async def test_endless_response_costs_no_more_than_its_limit(
    serve: support.Serve, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a host that runs out of memory, with all its requests.

    A piece of a body must not cost more than its bytes, twice while they are
    put together.
    """
    limit = 1024 * 1024
    monkeypatch.setattr(client_connection, "MAX_BODY_BYTES", limit)
    async with support.serving(serve) as address:
        pool = client.Pool(asyncio.get_running_loop().time, b"x-id")
        connection = await pool.open(address)
        assert isinstance(connection, client_connection.Connection)
        with _traced() as peak:
            async with asyncio.timeout(CALL_SECONDS):
                result = await connection.exchange(
                    b"GET / HTTP/1.1\r\n\r\n", b"1"
                )
            assert peak() < 2 * limit + HARNESS_BYTES
    assert isinstance(result, messages.Failure)
    assert result.kind is messages.FailureKind.UNKNOWN


async def test_head_of_small_headers_costs_little_more_than_its_bytes() -> (
    None
):
    """Guards against heads that cost many times the limit of their size.

    Their servers stop in the middle, so that each request keeps one until its
    deadline.
    """
    count = 50

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"ab:cd\r\n" * 9_000)
        await reader.read()

    async with support.serving(serve) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        with _traced() as peak:
            results = await asyncio.gather(
                *(pool.call(address, REQUEST, 2.0) for _ in range(count))
            )
            kept = peak()
    assert all(isinstance(result, messages.Failure) for result in results)
    # Twice for the client, once for the server.
    assert kept < 3 * count * client_connection.MAX_HEAD_BYTES + HARNESS_BYTES


async def test_declared_length_beyond_the_limit_fails_with_the_head() -> None:
    """Guards against memory and time spent on a body that can't be kept."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"content-length: %d\r\n\r\nb" % 2**60)
        await reader.read()

    async with support.serving(serve) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        result = await pool.call(address, REQUEST, CALL_SECONDS)
    assert isinstance(result, messages.Failure)
    assert "exceeds" in result.reason


@pytest.mark.parametrize(
    "start",
    [
        HEAD.replace(b"200 OK", b"304 Not Modified"),
        HEAD.replace(b"200 OK", b"204 No Content"),
    ],
)
async def test_length_of_a_response_without_a_body_is_no_limit(
    start: bytes,
) -> None:
    """Guards against a failed answer that only names a length."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start + b"content-length: %d\r\n\r\n" % 2**40)
        await reader.read()

    async with support.serving(serve) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        result = await pool.call(address, REQUEST, CALL_SECONDS)
    assert isinstance(result, messages.Response)


@pytest.mark.parametrize(
    ("start", "content"),
    [
        (CHUNKED, b"1\r\nb\r\n" * 8192 + b"0\r\n\r\n"),
        (CHUNKED, b"10\r\n" + b"b" * 16 + b"\r\n"),
        (HEAD + b"content-length: 4000000\r\n\r\n", b"b" * 4_000_000),
        (HEAD + b"\r\n", b"b" * 4_000_000),
    ],
    ids=["8192 chunks of 1 byte", "16-byte chunks", "length", "until close"],
)
async def test_large_answer_is_returned_whole(
    start: bytes, content: bytes
) -> None:
    """Guards against limits that end the answers of healthy servers."""
    if content.startswith(b"10\r\n"):
        content = content * 100_000 + b"0\r\n\r\n"

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start + content)
        await writer.drain()

    async with support.serving(serve) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        result = await pool.call(address, REQUEST, CALL_SECONDS)
    assert isinstance(result, messages.Response)
    assert len(result.body) == content.count(b"b")


async def test_healthy_server_answers_beside_endless_ones() -> None:
    """Guards against an event loop that a few faulty servers take."""

    async def healthy(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"content-length: 2\r\n\r\nok")

    async with contextlib.AsyncExitStack() as stack:
        serving = stack.enter_async_context
        endless = [
            await serving(support.serving(_chunks(size)))
            for size in (1, 2, 2, 16)
        ]
        address = await serving(support.serving(healthy))
        pool = client.Pool(asyncio.get_running_loop().time)
        tasks = await serving(asyncio.TaskGroup())
        calls = [
            tasks.create_task(pool.call(each, REQUEST, CALL_SECONDS))
            for each in endless
        ]
        while not all(call.done() for call in calls):
            result = await pool.call(address, REQUEST, 0.5)
            assert isinstance(result, messages.Response)
            assert result.body == b"ok"
        for call in calls:
            failure = call.result()
            assert isinstance(failure, messages.Failure)
            assert "no response within" not in failure.reason


@pytest.mark.parametrize(
    "anyio_backend", [("asyncio", {"use_uvloop": True})], ids=["uvloop"]
)
async def test_large_response_leaves_turns_to_other_connections() -> None:
    """Guards against an event loop that reads on from one connection.

    Responses to others wait meanwhile, until the connection has no more data.
    """
    reads = 0
    most = 0

    def count() -> None:
        nonlocal reads
        reads += 1

    async with support.serving(_chunks(16)) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        call = asyncio.create_task(
            pool.call(address, REQUEST, CALL_SECONDS, on_data=count)
        )
        while not call.done():
            reads = 0
            await asyncio.sleep(0)
            most = max(most, reads)
    assert 0 < most <= 2


async def test_shared_limit_fails_the_servers_that_hold_the_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against faulty servers that end the answer of a healthy one.

    The healthy server's answer is the one that reaches the limit, and is
    larger than each body of the server that opens many.
    """
    monkeypatch.setattr(buffered_bytes, "MAX_BUFFERED_BYTES", 1024 * 1024)

    async def faulty(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"\r\n" + b"b" * 100_000)
        await reader.read()

    async def healthy(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"content-length: 300000\r\n\r\n")
        for _ in range(30):
            writer.write(b"b" * 10_000)
            await writer.drain()

    async with (
        support.serving(faulty) as faulty_address,
        support.serving(healthy) as healthy_address,
        asyncio.TaskGroup() as tasks,
    ):
        pool = client.Pool(asyncio.get_running_loop().time)
        calls = [
            tasks.create_task(pool.call(faulty_address, REQUEST, 1.0))
            for _ in range(9)
        ]
        while pool._buffered.total < 900_000:
            await asyncio.sleep(0.01)
        result = await pool.call(healthy_address, REQUEST, CALL_SECONDS)
    assert isinstance(result, messages.Response), result
    assert len(result.body) == 300_000
    reasons = [str(call.result()) for call in calls]
    assert any("in all" in reason for reason in reasons)
    assert pool._buffered.total == 0


async def test_pools_of_a_host_share_a_limit_by_its_memory() -> None:
    """Guards against a limit for each pool that the machine has only once.

    Servers, probes, orders, the store and other hosts have a pool each.
    """
    memory = 8 * 1024 * 1024
    buffered = buffered_bytes.BufferedBytes.from_memory(memory)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"\r\n" + b"b" * 300_000)
        await reader.read()

    async with support.serving(serve) as address:
        now = asyncio.get_running_loop().time
        pools = [client.Pool(now, buffered=buffered) for _ in range(4)]
        pools.append(pools[0].sibling())
        calls = asyncio.gather(
            *(pool.call(address, REQUEST, 0.5) for pool in pools)
        )
        most = 0
        while not calls.done():
            most = max(most, buffered.total)
            await asyncio.sleep(0)
        reasons = [str(result) for result in await calls]
    assert 0 < most <= memory / 8
    assert any("in all" in reason for reason in reasons)
    assert buffered.total == 0


async def _read_newest(pool: client.Pool, address: client.Address) -> bool:
    page = await store.PlatformStore(pool, address).read_newest("x")
    return isinstance(page, outcomes.Refusal)


async def _read(pool: client.Pool, address: client.Address) -> bool:
    page = await store.PlatformStore(pool, address).read("x", 0, 0.0)
    return isinstance(page, outcomes.Refusal)


async def _grant(pool: client.Pool, address: client.Address) -> bool:
    sender = orders.PlatformOrders(pool)
    recipient = ports.Recipient("a", 1, address)
    assert not await sender.connect(recipient)
    result = await sender.grant(
        recipient, KEY_RANGE, 3.5, None, CALL_SECONDS, sender.now()
    )
    return result.reply is ports.Reply.SILENT


async def _supersede(pool: client.Pool, address: client.Address) -> bool:
    host = f"{address[0]}:{address[1]}"
    return await peers.PeerClient(pool).supersede(host, 1) is None


async def _report(pool: client.Pool, address: client.Address) -> bool:
    now = asyncio.get_running_loop().time
    nothing: typing.Any = None
    reporter = reporter_module.Reporter(
        pool,
        nothing,
        fleet_module.Fleet(node_settings.Bounds(), "anna", now),
        view_module.AssignmentView(),
        "host-1",
        (),
        nothing,
        node_support.operator_relay(),
        now,
    )
    reporter.coordinator = f"{address[0]}:{address[1]}"
    report = peer_messages.Report("host-1", 0, -1, 0, {}, {})
    return not await reporter._send(report)


@pytest.mark.parametrize(
    ("call", "largest_answer"),
    [
        # A page of 1 MB in base64; a page of 1 MB with one record beyond it.
        (_read_newest, 4 * 1024 * 1024),
        (_read, 4 * 1024 * 1024),
        (_grant, 64 * 1024),
        # 40 bytes for each of 100,000 servers.
        (_supersede, 4 * 1024 * 1024),
        # The assignment and all servers.
        (_report, 16 * 1024 * 1024),
    ],
)
@pytest.mark.parametrize(
    "start",
    [HEAD + b"\r\n", HEAD + b"content-length: %d\r\n\r\n" % 2**60],
    ids=["until close", "declared length"],
)
async def test_endless_response_costs_a_call_its_largest_answer(
    call: typing.Callable[
        [client.Pool, client.Address], typing.Awaitable[bool]
    ],
    largest_answer: int,
    start: bytes,
) -> None:
    """Guards against calls that keep far more than any answer to them."""
    async with support.serving(_endless(start, b"b")) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        with _traced() as peak:
            has_failed = await call(pool, address)
            assert peak() < 2 * largest_answer + HARNESS_BYTES
    assert has_failed


async def test_largest_page_of_the_store_is_read() -> None:
    """Guards against limits below what the store sends.

    A listing has 1 MB and a record of 256 KiB beyond it, in base64; a read
    has its limit and such a record.
    """
    value = b"v" * 262_000
    items = [
        # Encoded as base64.
        {"key": str(key), "value": value, "offset": key}
        for key in range(5)
    ]
    listing = msgspec.json.encode({"items": items, "end": 5})
    content = b"\x01k" + value
    record = len(content).to_bytes(4, "big") + content
    page = (5).to_bytes(8, "big") + bytes(8) + record * 5

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            body = listing if b"/log-newest" in head else page
            writer.write(HEAD + b"content-length: %d\r\n\r\n" % len(body))
            writer.write(body)
            await writer.drain()

    async with support.serving(serve) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        log = store.PlatformStore(pool, address)
        for result in (await log.read_newest("x"), await log.read("x", 0, 0)):
            assert isinstance(result, port.Page)
            assert [record.value for record in result.records] == [value] * 5
