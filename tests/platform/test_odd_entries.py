"""Entries of service discovery that another writer left."""

from __future__ import annotations

import json
import typing

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from agatestile.catalog import directory
from agatestile.entry import fleet as fleet_module
from agatestile.node import messages
from agatestile.node import settings as node_settings
from agatestile.node import watchers
from agatestile.platform import headers
from agatestile.platform import records
from agatestile.store import port
from tests.node import support
from tests.platform import test_adapter

NESTED = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
HUGE = 10**400
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from(
        ["ready", "draining", "10.0.0.1:80", "10.0.0.1:²", "a.b:80", HUGE]
    ),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=3), children, max_size=3
        )
    ),
    max_leaves=5,
)


def _heartbeat(**changes: object) -> bytes:
    return json.dumps({**test_adapter.HEARTBEAT, **changes}).encode()


@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        _heartbeat(extra=json.loads("[" * 500 + "]" * 500)),
        _heartbeat(born=HUGE),
        _heartbeat(born=2**64),
        _heartbeat(born=-1),
        _heartbeat(seq=HUGE),
        _heartbeat(slots=HUGE),
        _heartbeat(warmupLeftMs=HUGE),
        _heartbeat(warmupLeftMs=1e300),
        _heartbeat(address="10.0.0.1:0"),
        _heartbeat(address="10.0.0.1:70000"),
        _heartbeat(address="10.0.0.1:" + "9" * 5000),
        _heartbeat(address="10.0.0.1:\u00b2"),
        _heartbeat(address="10.0.0.1:-80"),
        _heartbeat(address="a\u0000b:80"),
        b"\xff\xfe",
        b"{",
    ],
    ids=lambda value: repr(value[-60:]),
)
@pytest.mark.anyio
async def test_odd_entry_does_not_stop_the_reader(value: bytes) -> None:
    """Guards against hosts that no longer follow service discovery.

    One entry of another writer ended the task that reads all of them, each
    time it was read (LOST).
    """
    servers = directory.Directory()
    watcher = watchers.DiscoveryWatcher(
        support.ScriptedStore(  # type: ignore[arg-type]
            port.Page(
                [port.Record("odd", value), port.Record("a", _heartbeat())], 2
            ),
            port.Page([port.Record("b", _heartbeat())], 3),
        ),
        records.PlatformRecordFormat(),
        servers,
        lambda: 0.0,
        lambda: None,
    )
    await watcher.poll()
    await watcher.poll()
    used = {
        name
        for name, server in servers.by_id.items()
        if _is_usable(server.entry)
    }
    assert used >= {"a", "b"}


def _is_usable(entry: directory.ServerEntry) -> bool:
    """Return whether all parts of a host can work with an entry."""
    fleet = fleet_module.Fleet(
        node_settings.Bounds(), "anna", lambda: 1.0, lambda: 1.0
    )
    fleet.directory.put(entry, 1.0)
    server = fleet.directory.by_id[entry.id]
    relayed = messages.RelayedServer.from_server(server, False, 1.0)
    encoded = msgspec.msgpack.encode(relayed)
    decoded = msgspec.msgpack.decode(encoded, type=messages.RelayedServer)
    assert decoded.entry() == entry
    (placed,) = fleet.registered_servers(entry.service).values()
    assert placed.candidate.capacity > 0
    fleet.candidates(entry.service, 1.0, set())
    ((_, _), (_, identifier)) = headers.PlatformHeaders().server_headers(
        entry.id, 1.0
    )
    assert b"\r" not in identifier and b"\n" not in identifier
    return True


@hypothesis.settings(max_examples=500)
@hypothesis.given(
    key=strategies.text(max_size=5),
    changes=strategies.dictionaries(
        strategies.sampled_from(sorted(test_adapter.HEARTBEAT)),
        JSON,
        max_size=4,
    ),
)
def test_accepted_entry_is_usable_everywhere(
    key: str, changes: dict[str, typing.Any]
) -> None:
    """Guards against entries that are read but fail where they are used."""
    entry = records.decode_server(key, _heartbeat(**changes))
    if not isinstance(entry, str):
        assert _is_usable(entry)
