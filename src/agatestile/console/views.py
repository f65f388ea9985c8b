"""Text and JSON forms of what commands show."""

from __future__ import annotations

import csv
import io
import typing

import msgspec

_HOST_COLUMNS = (
    "host",
    "domain",
    "state",
    "ready",
    "table",
    "offset",
    "ranges",
    "leads",
    "violations",
)


def json(content: typing.Any) -> str:
    """Return content as JSON on one line."""
    return msgspec.json.encode(content).decode()


def fields(content: dict[str, typing.Any]) -> str:
    """Return one line for each field."""
    width = max(len(name) for name in content)
    return "\n".join(
        f"{name:{width}}  {_cell(value)}" for name, value in content.items()
    )


def sheet(content: dict[str, typing.Any]) -> str:
    """Return the services table in columns, after its version."""
    rows = list(csv.reader(io.StringIO(content["csv"])))
    return f"version {content['version']}\n{_columns(rows)}"


def hosts(content: dict[str, typing.Any]) -> str:
    """Return one line for each host, then what needs attention."""
    rows = [list(_HOST_COLUMNS)]
    notes = []
    for name, status in content["hosts"].items():
        if "unreachable" in status:
            notes.append(f"{name}: not reached: {status['unreachable']}")
            continue
        rows.append(_host_row(name, status))
        notes += [
            f"{name}: invariant {invariant} broken {count} times"
            for invariant, count in status["invariant_violations"].items()
        ]
    asked = content["hosts"][content["asked"]]
    notes += [
        f"domain {name}: {state}, leader "
        f"{asked['leaders'].get(name) or 'unknown'}"
        for name, state in asked["domains"].items()
    ]
    return "\n".join([_columns(rows), *notes])


def _host_row(name: str, status: dict[str, typing.Any]) -> list[str]:
    leads = [
        domain
        for domain, leader in status["leaders"].items()
        if leader == name
    ]
    return [
        name,
        status["failure_domain"],
        status["state"],
        _cell(status["ready"]),
        _cell(status["table_version"]),
        _cell(status["offset"]),
        _cell(sum(status["gated_ranges"].values())),
        _cell(leads),
        _cell(sum(status["invariant_violations"].values())),
    ]


def _cell(value: typing.Any) -> str:
    if value is None or value == [] or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    return str(value)


def _columns(rows: list[list[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(
            f"{cell:{width}}" for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
