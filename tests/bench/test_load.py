"""Plan of the load and check of answers."""

from __future__ import annotations

import hashlib
import json

from bench import load

SERVICE = load.ServiceLoad(
    "price", 1.0, 100, 1.0, {"GET": 0.5, "POST": 0.5}, body_bytes=50
)


def test_same_seed_gives_the_same_requests() -> None:
    """Guards against baselines that are measured on another load."""
    one = list(load.plan_mixed([SERVICE], 200.0, 2.0, 7))
    two = list(load.plan_mixed([SERVICE], 200.0, 2.0, 7))
    other = list(load.plan_mixed([SERVICE], 200.0, 2.0, 8))
    assert one == two
    assert one != other
    assert 300 < len(one) < 500
    assert len({request.number for request in one + other}) == len(one + other)


def test_keys_follow_their_popularity() -> None:
    """Guards against a load without hot keys."""
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


def test_answers_of_others_and_parts_are_noticed() -> None:
    """Guards against counting crossed or cut answers as whole."""
    request = load.Request(0.0, "r1", "price", "k1", "PUT", b"abc", 0, 1.0)
    assert not load.find_difference(request, _echo(request))
    assert load.find_difference(request, _echo(request, id="r2"))
    assert load.find_difference(request, _echo(request, digest="00"))
    assert load.find_difference(request, _echo(request)[:-1])
    assert load.find_difference(request, _echo(request) + b"x")
    large = request._replace(answer_bytes=500)
    whole = _echo(large).ljust(500, b".")
    assert not load.find_difference(large, whole)
    assert load.find_difference(large, whole[:-1])
