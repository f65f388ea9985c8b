"""Tests that settings reach the components of a daemon."""

from __future__ import annotations

import socket

import anyio
import pytest

from agatestile.daemon import factory
from agatestile.settings import schema


def _settings() -> schema.Settings:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        free_address = schema.Address(*listener.getsockname())
    url = schema.BaseUrl("127.0.0.1", 1)
    return schema.Settings(
        host="entry-1",
        failure_domain="radom",
        failure_domains=("radom",),
        listen=schema.Listen(
            free_address, free_address, free_address, free_address
        ),
        platform=schema.Platform(url, url),
        requests=schema.Requests(header_limit=2048, head_timeout=0.3),
    )


@pytest.mark.anyio
@pytest.mark.parametrize("name", ["callers", "forward"])
@pytest.mark.parametrize(
    ("head", "code"),
    [
        (b"GET /prices/k HTTP/1.1\r\nhost: a\r\n", b"106"),
        (
            b"GET /prices/k HTTP/1.1\r\nhost: a\r\nx: %s\r\n\r\n"
            % (b"a" * 4000),
            b"105",
        ),
        (b"GET /prices/k HTTP/1.1\r\nhost: a\r\n\r\n", b"215"),
    ],
    ids=["slow", "large", "good"],
)
async def test_request_limits_of_the_settings_are_enforced(
    name: str, head: bytes, code: bytes
) -> None:
    """Guards against limits that are read from the settings but not applied.

    A slow and an oversized request head must get their result codes.
    """
    settings = _settings()
    listener = factory.build(settings).listeners_by_name[name]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run)
        await listener.wait_started()
        address = settings.listen.callers
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(head)
            with anyio.fail_after(3):
                answer = await stream.receive()
        assert b"x-agatestile-code: %s\r\n" % code in answer
        listener.stop()
