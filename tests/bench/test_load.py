"""Tests of the planned load and of the check of responses."""

from __future__ import annotations

import hashlib
import json

from bench import load

SERVICE = load.ServiceLoad(
    "price", 1.0, 100, 1.0, {"GET": 0.5, "POST": 0.5}, body_bytes=50
)


def test_same_seed_plans_the_same_requests() -> None:
    """Guards against baselines that are measured under different load."""
    one = list(load.plan_mixed([SERVICE], 200.0, 2.0, 7))
    two = list(load.plan_mixed([SERVICE], 200.0, 2.0, 7))
    other = list(load.plan_mixed([SERVICE], 200.0, 2.0, 8))
    assert one == two
    assert one != other
    assert 300 < len(one) < 500
    assert len({request.number for request in one + other}) == len(one + other)


def test_popular_keys_are_requested_more_often() -> None:
    """Guards against a load without hot keys, from a wrong distribution."""
    keys = [request.key for request in load.plan_mixed([SERVICE], 999, 5, 1)]
    assert keys.count("k0") > 3 * keys.count("k9") > 0


def _echo(request: load.Request, **changes: object) -> bytes:
    digest = hashlib.blake2b(request.body, digest_size=8).hexdigest()
    echo = {
        "key": request.key,
        "method": request.method,
        "digest": digest,
        "received": len(request.body),
        "id": request.number,
        "size": request.answer_bytes,
    }
    return json.dumps(echo | changes).encode()


def test_mixed_up_and_truncated_responses_are_reported() -> None:
    """Guards against accepting wrong responses as complete.

    They belong to another request, miss a part or have extra bytes.
    """
    request = load.Request(0.0, "r1", "price", "k1", "PUT", b"abc", 0, 1.0)
    assert not load.find_difference(request, _echo(request))
    assert load.find_difference(request, _echo(request, id="r2"))
    assert load.find_difference(request, _echo(request, digest="00"))
    assert load.find_difference(request, _echo(request)[:-1])
    assert load.find_difference(request, _echo(request) + b"x")
    large = request._replace(answer_bytes=500)
    complete = _echo(large).ljust(500, b".")
    assert not load.find_difference(large, complete)
    assert load.find_difference(large, complete[:-1])
