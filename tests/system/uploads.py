"""Sends uploads that last several seconds."""

from __future__ import annotations

import hashlib
import http.client
import json
import time
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.system.clusters import Cluster

BODY = bytes(range(256)) * 2048  # 512 KiB
CHUNK_COUNT = 16
CHUNK_INTERVAL_SECONDS = 0.25
DURATION_SECONDS = CHUNK_COUNT * CHUNK_INTERVAL_SECONDS


def _chunks() -> Iterator[bytes]:
    chunk_size = len(BODY) // CHUNK_COUNT
    for index in range(CHUNK_COUNT):
        time.sleep(CHUNK_INTERVAL_SECONDS)
        yield BODY[index * chunk_size : (index + 1) * chunk_size]


def send(cluster: Cluster, host: str, path: str) -> tuple[int, bytes]:
    """Send the body in timed chunks; return the response's status and body."""
    listen = cluster.settings_by_host[host].listen
    connection = http.client.HTTPConnection(str(listen.callers), timeout=15)
    connection.request(
        "POST",
        path,
        body=_chunks(),
        headers={
            "content-length": str(len(BODY)),
            "x-agatestile-request-id": "upload",
        },
    )
    response = connection.getresponse()
    result = response.status, response.read()
    connection.close()
    return result


def assert_received_once(
    cluster: Cluster, server: str, response: tuple[int, bytes]
) -> None:
    """Assert that a server received an upload completely and only once."""
    status, body = response
    assert status == 200, response
    echo = json.loads(body)
    digest = hashlib.blake2b(BODY, digest_size=8).hexdigest()
    assert (echo["server"], echo["received"]) == (server, len(BODY))
    assert echo["digest"] == digest
    assert cluster.server_state(server)["executions"]["upload"] == 1
