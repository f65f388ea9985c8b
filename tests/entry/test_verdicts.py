"""Tests of what responses of servers mean, without a network."""

from __future__ import annotations

import pytest

from agatestile.entry import refusals
from agatestile.entry import verdicts
from agatestile.platform import headers
from agatestile.transport import messages

SIGNATURE = (b"x-upstream-signature", b"s")
NOT_EXECUTED = (b"x-not-executed", b"1")
VERDICT = verdicts.Verdict


def _judge(
    status: int, is_idempotent: bool, *given: tuple[bytes, bytes]
) -> verdicts.Verdict:
    response = messages.Response(status, list(given), b"")
    server_headers = headers.PlatformHeaders().read_response(response)
    return verdicts.judge(status, server_headers, is_idempotent)


@pytest.mark.parametrize("status", range(200, 600))
@pytest.mark.parametrize("given", [(), (SIGNATURE,)])
def test_only_a_server_can_say_that_a_request_did_not_run(
    status: int, given: tuple[tuple[bytes, bytes], ...]
) -> None:
    """Guards against a status that makes a caller repeat what has run."""
    verdict = _judge(status, False, *given)
    if status == 421:
        assert verdict is VERDICT.REJECTED
    elif status in refusals.NOT_RUN_STATUSES:
        assert verdict is VERDICT.UNCONFIRMED
    else:
        assert verdict not in (VERDICT.REJECTED, VERDICT.UNCONFIRMED)


@pytest.mark.parametrize(
    ("status", "is_idempotent", "given", "verdict"),
    [
        (200, False, [SIGNATURE], VERDICT.ANSWERED),
        (200, True, [], VERDICT.BROKEN),
        (404, False, [SIGNATURE], VERDICT.ANSWERED),
        (500, False, [SIGNATURE], VERDICT.FAILED),
        (503, True, [SIGNATURE], VERDICT.FAILED),
        (408, True, [SIGNATURE], VERDICT.FAILED),
        (429, True, [SIGNATURE], VERDICT.FAILED),
        (503, False, [NOT_EXECUTED], VERDICT.REJECTED),
        (429, True, [NOT_EXECUTED, SIGNATURE], VERDICT.REJECTED),
        (200, False, [NOT_EXECUTED, SIGNATURE], VERDICT.BROKEN),
    ],
)
def test_response_gets_its_verdict(
    status: int,
    is_idempotent: bool,
    given: messages.Headers,
    verdict: verdicts.Verdict,
) -> None:
    assert _judge(status, is_idempotent, *given) is verdict
