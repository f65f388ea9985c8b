"""Uploads that take some seconds."""

from __future__ import annotations

import hashlib
import http.client
import json
import time
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.system.scene import Scene

BODY = bytes(range(256)) * 2048  # 512 KiB
PIECES = 16
PIECE_INTERVAL = 0.25  # seconds
SECONDS = PIECES * PIECE_INTERVAL


def _pieces() -> Iterator[bytes]:
    size = len(BODY) // PIECES
    for number in range(PIECES):
        time.sleep(PIECE_INTERVAL)
        yield BODY[number * size : (number + 1) * size]


def send(scene: Scene, host: str, path: str) -> tuple[int, bytes]:
    """Send the body slowly; return status and body of the answer."""
    listen = scene.settings_by_host[host].listen
    connection = http.client.HTTPConnection(str(listen.callers), timeout=15)
    connection.request(
        "POST",
        path,
        body=_pieces(),
        headers={
            "content-length": str(len(BODY)),
            "x-agatestile-request-id": "upload",
        },
    )
    answer = connection.getresponse()
    found = answer.status, answer.read()
    connection.close()
    return found


def check(scene: Scene, server: str, found: tuple[int, bytes]) -> None:
    """Assert that an upload came to a server whole, and once."""
    status, body = found
    assert status == 200, found
    echo = json.loads(body)
    digest = hashlib.blake2b(BODY, digest_size=8).hexdigest()
    assert (echo["server"], echo["received"]) == (server, len(BODY))
    assert echo["digest"] == digest
    assert scene.state(server)["executions"]["upload"] == 1
