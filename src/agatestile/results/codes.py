"""Result codes, numbered by category.

The reference for operators is docs/result-codes.md; a test compares its
table with this module.
"""

from __future__ import annotations

import enum


class ResultCode(enum.IntEnum):
    """Outcome of a request, a change or a check.

    Codes 100 to 299 mean that the request did not run. Codes 300 to 399
    mean that it may have run.
    """

    ANSWERED = 0

    BAD_REQUEST = 100
    UNKNOWN_SERVICE = 101
    MISSING_KEY = 102
    METHOD_NOT_ALLOWED = 103
    BODY_TOO_LARGE = 104
    HEADERS_TOO_LARGE = 105
    SLOW_SENDER = 106
    NO_ROUTE = 107
    UNAUTHENTICATED = 108

    NO_OWNER = 200
    NO_GATE = 201
    NOT_GATE = 202
    LEASE_LAPSED = 203
    QUEUE_FULL = 204
    QUEUE_TIMEOUT = 205
    DEADLINE_PASSED = 206
    SERVER_REFUSED = 207
    SERVER_SHED = 208
    CONNECT_FAILED = 209
    SHUTTING_DOWN = 210
    DOMAIN_OUT = 211
    DUPLICATE_RUNNING = 212
    RANGE_MOVING = 213
    RETRY_BUDGET_SPENT = 214
    NOT_READY = 215
    NO_CONFIGURATION = 216
    OVERLOADED = 217
    NO_SERVER = 218
    CONFIGURATION_OUTDATED = 219
    CONFIGURATION_INVALID = 220
    QUOTA_EXCEEDED = 221

    OUTCOME_UNKNOWN = 300
    ANSWER_BROKEN = 301
    REPEATED_AFTER_TAKEOVER = 302
    ANSWER_TIMEOUT = 303
    REJECTION_UNCONFIRMED = 304

    TABLE_CONFLICT = 400
    TABLE_INVALID = 401
    LOG_UNAVAILABLE = 402
    LOG_OUTCOME_UNKNOWN = 403
    RECORD_STALE = 404
    RANGE_CONFLICT = 405
    TERM_STALE = 406
    SERVER_OWNS_RANGES = 407
    NAME_UNKNOWN = 408
    NOT_IN_FORCE = 409
    LOG_HISTORY_GONE = 410
    LOG_ERA_CHANGED = 411

    SETTINGS_UNREADABLE = 500
    SETTINGS_UNKNOWN_KEY = 501
    SETTINGS_WRONG_TYPE = 502
    SETTINGS_WRONG_UNIT = 503
    SETTINGS_ADDRESS_TWICE = 504
    SETTINGS_UNKNOWN_DOMAIN = 505
    SETTINGS_MISSING_KEY = 506

    NOT_LEADER = 600
    NO_MAJORITY = 601
    GRANT_REFUSED = 602
    SERVER_UNREACHABLE = 603


def did_not_run(code: ResultCode) -> bool:
    """Return whether a request with this result did not run."""
    return 100 <= code < 300
