"""Formats the answers of a daemon as text and JSON."""

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


def to_json(content: typing.Any) -> str:
    """Return content as JSON on one line."""
    return msgspec.json.encode(content).decode()


def format_fields(content: dict[str, typing.Any]) -> str:
    """Return one line per field, with aligned values."""
    width = max(len(name) for name in content)
    return "\n".join(
        f"{name:{width}}  {_format_value(value)}"
        for name, value in content.items()
    )


def format_table(content: dict[str, typing.Any]) -> str:
    """Return the version of the services table, then its columns."""
    rows = list(csv.reader(io.StringIO(content["csv"])))
    return f"version {content['version']}\n{_align_columns(rows)}"


def format_status(content: dict[str, typing.Any]) -> str:
    """Return one line per host, then notes such as unreachable hosts."""
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
    queried = content["hosts"][content["asked"]]
    notes += [
        f"domain {name}: {state}, leader "
        f"{queried['leaders'].get(name) or 'unknown'}"
        for name, state in queried["domains"].items()
    ]
    return "\n".join([_align_columns(rows), *notes])


def _host_row(name: str, status: dict[str, typing.Any]) -> list[str]:
    led_domains = [
        domain
        for domain, leader in status["leaders"].items()
        if leader == name
    ]
    return [
        name,
        status["failure_domain"],
        status["state"],
        _format_value(status["ready"]),
        _format_value(status["table_version"]),
        _format_value(status["offset"]),
        _format_value(sum(status["gated_ranges"].values())),
        _format_value(led_domains),
        _format_value(sum(status["invariant_violations"].values())),
    ]


def _format_value(value: typing.Any) -> str:
    if value is None or value == [] or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    return str(value)


def _align_columns(rows: list[list[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(
            f"{cell:{width}}" for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
