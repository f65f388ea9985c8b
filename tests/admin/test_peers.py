"""Tests reading the status of other hosts with peer calls."""

from __future__ import annotations

import json
import typing

import anyio
import pytest

from agatestile.admin import peers
from agatestile.results import outcomes
from agatestile.rpc import server as rpc_server


class _Handler:
    def __init__(self, text: str) -> None:
        self._text = text

    def status(self) -> str:
        return self._text


class _Member(typing.NamedTuple):
    peers: str


class _Membership:
    def __init__(self, members: dict[str, _Member]) -> None:
        self.members_by_host = members


@pytest.mark.anyio
async def test_one_failed_host_does_not_hide_the_others() -> None:
    """Guards against a status that fails as a whole because of one host.

    One host is unreachable, another answers with a list instead of a map.
    """
    async with anyio.create_task_group() as tasks:
        valid_port, malformed_port = [
            await tasks.start(
                rpc_server.PeerServer(_Handler(text)).serve, "127.0.0.1", 0
            )
            for text in (json.dumps({"offset": 4}), "[]")
        ]
        statuses = peers.PeerStatuses(
            "entry-1",
            _Membership(
                {
                    "entry-1": _Member("127.0.0.1:1"),
                    "entry-2": _Member(f"127.0.0.1:{valid_port}"),
                    "entry-3": _Member("127.0.0.1:1"),
                    "entry-4": _Member(f"127.0.0.1:{malformed_port}"),
                }
            ),
        )
        found = await statuses.statuses()
        tasks.cancel_scope.cancel()
    assert list(found) == ["entry-2", "entry-3", "entry-4"]
    assert found["entry-2"] == {"offset": 4}
    assert isinstance(found["entry-3"], outcomes.Refusal)
    assert isinstance(found["entry-4"], outcomes.Refusal)
