"""Deduplication by request identifiers."""

from __future__ import annotations

from agatestile.limits import deduplication
from agatestile.results import codes
from agatestile.results import outcomes

CODES = codes.ResultCode
ANSWER = deduplication.Answer(200, ((b"a", b"b"),), b"done")


def _code_of(found: object) -> int:
    assert isinstance(found, outcomes.Refusal)
    return found.code


def test_identifier_runs_once_for_two_minutes() -> None:
    """Guards against a request that runs again when its caller repeats it."""
    identifiers = deduplication.Deduplication()
    assert identifiers.begin("a", 1, 0.0) is None
    assert _code_of(identifiers.begin("a", 2, 1.0)) == CODES.DUPLICATE_RUNNING
    identifiers.finish("a", 10.0, ANSWER)
    assert identifiers.begin("a", 2, 129.9) == ANSWER
    assert identifiers.begin("a", 1, 130.1) is None


def test_request_that_ran_is_never_reported_as_not_run() -> None:
    """Guards against a repetition of a request that already ran.

    Its answer is not kept if it was too long or did not arrive.
    """
    identifiers = deduplication.Deduplication()
    for name, answer in (
        ("lost", None),
        ("long", ANSWER._replace(body=bytes(3000))),
    ):
        assert identifiers.begin(name, 1, 0.0) is None
        identifiers.finish(name, 1.0, answer)
        assert (
            _code_of(identifiers.begin(name, 2, 2.0)) == CODES.OUTCOME_UNKNOWN
        )


def test_request_that_did_not_run_may_be_repeated() -> None:
    """Guards against a refusal of a request that was never sent."""
    identifiers = deduplication.Deduplication()
    assert identifiers.begin("a", 1, 0.0) is None
    identifiers.forget("a")
    assert identifiers.begin("a", 2, 0.1) is None


def test_full_memory_refuses_instead_of_forgetting_early() -> None:
    """Guards against identifiers that are evicted before two minutes.

    A repetition of an evicted identifier would run again.
    """
    identifiers = deduplication.Deduplication(capacity=2)
    for name in ("a", "b"):
        assert identifiers.begin(name, 1, 0.0) is None
        identifiers.finish(name, 0.0, None)
    assert _code_of(identifiers.begin("c", 1, 1.0)) == CODES.QUEUE_FULL
    assert _code_of(identifiers.begin("a", 1, 1.0)) == CODES.OUTCOME_UNKNOWN
    assert identifiers.begin("c", 1, 121.0) is None


def test_kept_answers_are_bounded_in_bytes() -> None:
    """Guards against answers that take unbounded memory."""
    identifiers = deduplication.Deduplication()
    answer = ANSWER._replace(body=bytes(deduplication.ANSWER_LIMIT_BYTES))
    for number in range(3000):
        assert identifiers.begin(str(number), 1, 0.0) is None
        identifiers.finish(str(number), 0.0, answer)
    assert identifiers.begin("0", 2, 1.0) == answer
    assert _code_of(identifiers.begin("2999", 2, 1.0)) == CODES.OUTCOME_UNKNOWN


def test_marked_repetition_is_refused_for_two_minutes_after_takeover() -> None:
    """Guards against a second run after the gate of a server changed.

    The earlier gate may have run the first attempt.
    """
    identifiers = deduplication.Deduplication()
    identifiers.takeover_time = 100.0
    code = _code_of(identifiers.begin("a", 2, 219.0))
    assert code == CODES.REPEATED_AFTER_TAKEOVER
    assert identifiers.begin("a", 1, 219.0) is None
    assert identifiers.begin("b", 2, 220.1) is None
