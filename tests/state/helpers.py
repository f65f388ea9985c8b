"""A small services table, records and assertions for tests of the state."""

from __future__ import annotations

import itertools

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import cluster
from agatestile.state import ranges
from agatestile.state import records
from agatestile.state import table

DOMAINS = ("warszawa-a", "radom")
TERMS = {name: records.Term(0, 1, f"{name}#1") for name in DOMAINS}
_REQUEST_NUMBERS = itertools.count()
CSV = """\
kind,service,server,domain,address,slots,connections,timeout_ms,on_cut
service,prices,,,,,,500,stay
service,promotions,,,,,,500,move
server,prices,p1,warszawa-a,127.0.0.1:9001,2,130,,
server,prices,p2,warszawa-a,127.0.0.1:9002,2,130,,
server,prices,p3,radom,127.0.0.1:9003,2,130,,
server,promotions,q1,warszawa-a,127.0.0.1:9011,2,130,,
server,promotions,q2,radom,127.0.0.1:9012,2,130,,
"""


def rows(text: str = CSV) -> tuple[records.TableRow, ...]:
    """Return the rows of a CSV sheet, which must be valid."""
    found = table.from_csv(text)
    assert not isinstance(found, outcomes.Refusal), found
    return found


def change(
    service: str,
    start: int,
    end: int,
    bases: tuple[int, ...],
    server: str,
    *successors: str,
) -> records.RangeChange:
    """Return a change of one range."""
    return records.RangeChange(service, start, end, bases, server, successors)


def assign(domain: str, *changes: records.RangeChange) -> records.Assign:
    """Return an Assign by the leader of a domain."""
    return records.Assign(
        f"a{next(_REQUEST_NUMBERS)}", domain, TERMS[domain], changes
    )


def intent(domain: str, *changes: records.RangeChange) -> records.Intent:
    """Return an Intent by the leader of a domain."""
    return records.Intent(
        f"i{next(_REQUEST_NUMBERS)}", domain, TERMS[domain], changes
    )


def apply_refused(
    state: cluster.ClusterState, offset: int, record: records.Record
) -> codes.ResultCode:
    """Apply a record that must be refused, and return the result code."""
    return refusal_code(state.apply(offset, record))


def refusal_code(result: object) -> codes.ResultCode:
    """Return the code of a result that must be a refusal."""
    assert isinstance(result, outcomes.Refusal), result
    return result.code


def apply_accepted(
    state: cluster.ClusterState, offset: int, record: records.Record
) -> None:
    """Apply a record that must take effect."""
    result = state.apply(offset, record)
    assert isinstance(result, cluster.Applied), result


def state_with_leaders() -> cluster.ClusterState:
    """Return a state at offset 4 in which p1 and q1 own all positions."""
    state = cluster.ClusterState()
    whole = (0, ranges.END, (0,))
    setup: list[records.Record] = [
        records.TableChange("t", "anna", -1, rows()),
        records.Lead("l1", "warszawa-a", TERMS["warszawa-a"]),
        records.Lead("l2", "radom", TERMS["radom"]),
        assign("warszawa-a", change("prices", *whole, "p1", "p2")),
        assign("warszawa-a", change("promotions", *whole, "q1")),
    ]
    for offset, record in enumerate(setup):
        apply_accepted(state, offset, record)
    return state
