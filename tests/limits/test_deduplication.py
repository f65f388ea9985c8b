"""Memory of request identifiers."""

from __future__ import annotations

from agatestile.limits import deduplication
from agatestile.results import codes
from agatestile.results import outcomes

CODES = codes.ResultCode
ANSWER = deduplication.Answer(200, ((b"a", b"b"),), b"done")


def _code(found: object) -> int:
    assert isinstance(found, outcomes.Refusal)
    return found.code


def test_identifier_runs_once_for_two_minutes() -> None:
    made = deduplication.Deduplication()
    assert made.begin("a", 1, 0.0) is None
    assert _code(made.begin("a", 2, 1.0)) == CODES.DUPLICATE_RUNNING
    made.finish("a", 10.0, ANSWER)
    assert made.begin("a", 2, 129.9) == ANSWER
    assert made.begin("a", 1, 130.1) is None


def test_request_that_ran_is_never_reported_as_not_run() -> None:
    # Its answer was too long to keep or never came.
    made = deduplication.Deduplication()
    for name, answer in (
        ("lost", None),
        ("long", ANSWER._replace(body=bytes(3000))),
    ):
        assert made.begin(name, 1, 0.0) is None
        made.finish(name, 1.0, answer)
        assert _code(made.begin(name, 2, 2.0)) == CODES.OUTCOME_UNKNOWN


def test_request_that_did_not_run_may_be_repeated() -> None:
    made = deduplication.Deduplication()
    assert made.begin("a", 1, 0.0) is None
    made.forget("a")
    assert made.begin("a", 2, 0.1) is None


def test_full_memory_refuses_instead_of_forgetting_early() -> None:
    made = deduplication.Deduplication(capacity=2)
    for name in ("a", "b"):
        assert made.begin(name, 1, 0.0) is None
        made.finish(name, 0.0, None)
    assert _code(made.begin("c", 1, 1.0)) == CODES.QUEUE_FULL
    assert _code(made.begin("a", 1, 1.0)) == CODES.OUTCOME_UNKNOWN
    assert made.begin("c", 1, 121.0) is None


def test_kept_answers_are_bounded_in_bytes() -> None:
    made = deduplication.Deduplication()
    answer = ANSWER._replace(body=bytes(deduplication.ANSWER_LIMIT_BYTES))
    for number in range(3000):
        assert made.begin(str(number), 1, 0.0) is None
        made.finish(str(number), 0.0, answer)
    assert made.begin("0", 2, 1.0) == answer
    assert _code(made.begin("2999", 2, 1.0)) == CODES.OUTCOME_UNKNOWN


def test_marked_repetition_is_refused_for_two_minutes_after_takeover() -> None:
    # The earlier gate may have run the first attempt.
    made = deduplication.Deduplication()
    made.takeover_time = 100.0
    code = _code(made.begin("a", 2, 219.0))
    assert code == CODES.REPEATED_AFTER_TAKEOVER
    assert made.begin("a", 1, 219.0) is None
    assert made.begin("b", 2, 220.1) is None
