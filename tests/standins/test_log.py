"""Tests of the stand-in for the log over its published protocol."""

from __future__ import annotations

import json

import anyio
import httpcore
import msgspec
import pytest

from agatestile.log import client
from standins import log
from standins import serving

pytestmark = pytest.mark.anyio


async def test_control_and_records_follow_the_protocol() -> None:
    """Guards against a stand-in that breaks the protocol.

    Covers appends, reads, retention, lost responses and outages, as in
    section 14.1 of docs/design.md.
    """
    async with (
        serving.running(log.Log()) as port,
        httpcore.AsyncConnectionPool() as pool,
    ):
        base = f"http://127.0.0.1:{port}"
        records = f"{base}/streams/config/records"
        for number, body in enumerate((b"a", b"b", b"c")):
            response = await pool.request("POST", records, content=body)
            assert response.status == 201
            assert json.loads(response.content) == {"offset": number}
        for content, status in (
            (b'{"retention": 2, "lose_answers": 1}', 200),
            (b'{"retentoin": 2}', 400),
        ):
            response = await pool.request(
                "POST", f"{base}/control", content=content
            )
            assert response.status == status
        response = await pool.request("GET", f"{records}?start=0&limit=1")
        assert msgspec.msgpack.decode(response.content) == {
            "first": 1,
            "tail": 3,
            "records": [[1, b"b"]],
        }
        with pytest.raises(httpcore.RemoteProtocolError):
            await pool.request("POST", records, content=b"d")
        response = await pool.request("GET", f"{records}?start=3")
        assert msgspec.msgpack.decode(response.content)["records"] == [
            [3, b"d"]
        ]
        await pool.request(
            "POST", f"{base}/control", content=b'{"outage": true}'
        )
        for method in ("GET", "POST"):
            assert (await pool.request(method, records)).status == 503


async def test_waiting_reader_gets_a_new_record_at_once() -> None:
    """Guards against changes that take effect only after the whole wait.

    An append has to wake the reader that waits for it.
    """
    async with serving.running(log.Log()) as port:
        reader = client.LogClient(f"http://127.0.0.1:{port}")
        async with anyio.create_task_group() as tasks:
            started = anyio.current_time()
            tasks.start_soon(_append_later, reader)
            batch = await reader.read("config", 0, 5.0)
        assert isinstance(batch, client.Batch)
        assert batch.records == [(0, b"x")]
        assert anyio.current_time() - started < 2.0
        await reader.close()


async def _append_later(writer: client.LogClient) -> None:
    await anyio.sleep(0.1)
    assert await writer.append("config", b"x") == 0
