"""Grants over HTTP on the loopback interface."""

from __future__ import annotations

import json
import typing

import anyio
import anyio.abc
import pytest

from agatestile.ownership import grant_client
from agatestile.ownership import grants
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import records

REQUEST = grants.GrantRequest("radom", records.Term(4, 2, "h1#a"), 1000.0, 7.5)


def _answer(body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def _with_server(
    answers: list[bytes | None],
    use: typing.Callable[
        [records.TableRow, list[bytes]], typing.Awaitable[None]
    ],
) -> None:
    received: list[bytes] = []

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            while True:
                try:
                    received.append(await stream.receive())
                except anyio.EndOfStream:
                    return
                answer = answers.pop(0)
                if answer is None:
                    await anyio.sleep(0.4)
                    return
                await stream.send(answer)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    row = records.TableRow(
        "server", "price", "price-01", "radom", f"127.0.0.1:{port}"
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        await use(row, received)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_grant_has_the_published_form() -> None:
    """Guards against grants that servers of other vendors cannot read."""
    reply = {
        "accepted": True,
        "reason": "",
        "stamp": 8.25,
        "incarnation": "i1",
        "term": [4, 2, "h1#a"],
        "leader_remaining_ms": 250.0,
        "fence": None,
        "gate": None,
        "serve_remaining_ms": 0.0,
        "running": 1,
    }

    async def use(row: records.TableRow, received: list[bytes]) -> None:
        client = grant_client.GrantClient(1.0)
        answer = await client.grant(row, REQUEST)
        assert isinstance(answer, grants.GrantReply)
        assert answer.term == records.Term(4, 2, "h1#a")
        head, _, body = b"".join(received).partition(b"\r\n\r\n")
        assert head.startswith(b"POST /grant HTTP/1.1\r\n")
        sent = json.loads(body)
        assert sent["term"] == [4, 2, "h1#a"]
        assert (sent["stamp"], sent["leader_ms"]) == (7.5, 1000.0)
        await client.close()

    await _with_server([_answer(json.dumps(reply).encode())], use)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "answer, code",
    [
        (None, codes.ResultCode.SERVER_UNREACHABLE),
        (b"garbage\r\n\r\n", codes.ResultCode.SERVER_UNREACHABLE),
        (_answer(b"{}"), codes.ResultCode.GRANT_REFUSED),
        (
            b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
            codes.ResultCode.GRANT_REFUSED,
        ),
    ],
)
async def test_bad_answer_is_a_refusal(
    answer: bytes | None, code: codes.ResultCode
) -> None:
    """Guards against an invalid response that ends the leader's task."""

    async def use(row: records.TableRow, received: list[bytes]) -> None:
        client = grant_client.GrantClient(0.2)
        refusal = await client.grant(row, REQUEST)
        assert isinstance(refusal, outcomes.Refusal)
        assert refusal.code is code
        await client.close()

    await _with_server([answer], use)


@pytest.mark.anyio
async def test_grants_of_two_domains_do_not_interfere() -> None:
    """Guards against two leaders on one host sharing a witness connection.

    A host that led two domains closed the connection on which the other
    domain's grant was in progress, so leases lapsed under load.
    """
    reply = {"accepted": True, "reason": "", "stamp": 8.25, "incarnation": "i"}
    answer = _answer(json.dumps(reply).encode())
    received: list[bytes] = []

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            while True:
                try:
                    received.append(await stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                await anyio.sleep(0.1)
                await stream.send(answer)

    async with await anyio.create_tcp_listener(
        local_host="127.0.0.1"
    ) as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        row = records.TableRow(
            "server", "price", "price-01", "radom", f"127.0.0.1:{port}"
        )
        client = grant_client.GrantClient(5.0)
        found: list[grants.GrantReply | outcomes.Refusal] = []

        async def ask(domain: str) -> None:
            request = grants.GrantRequest(domain, REQUEST.term, 1000.0, 7.5)
            found.append(await client.grant(row, request))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            async with anyio.create_task_group() as asking:
                asking.start_soon(ask, "radom")
                await anyio.sleep(0.05)
                asking.start_soon(ask, "warszawa-a")
            await client.close()
            tasks.cancel_scope.cancel()
    assert all(isinstance(one, grants.GrantReply) for one in found), found
    assert len(received) == 2
