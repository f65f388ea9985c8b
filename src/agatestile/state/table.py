"""Services table: CSV format, validation and lookup by name."""

from __future__ import annotations

import csv
import io
import ipaddress
import typing

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import records

if typing.TYPE_CHECKING:
    import collections.abc

COLUMNS = (
    "kind",
    "service",
    "server",
    "domain",
    "address",
    "weight",
    "slots",
    "connections",
    "fenced",
    "state",
    "priority",
    "timeout_ms",
    "repeatable",
    "queue",
    "queue_ms",
    "on_cut",
    "body_limit",
)
_COLUMNS_BY_KIND = {
    "service": (
        "priority",
        "timeout_ms",
        "repeatable",
        "queue",
        "queue_ms",
        "on_cut",
        "body_limit",
    ),
    "server": (
        "server",
        "domain",
        "address",
        "weight",
        "slots",
        "connections",
        "fenced",
        "state",
    ),
}
_CHOICES_BY_COLUMN = {
    "kind": ("service", "server"),
    "state": ("active", "leaving"),
    "repeatable": ("always", "safe", "never"),
    "on_cut": ("stay", "move"),
}
_MINIMUM_BY_COLUMN = {
    "weight": 1,
    "slots": 1,
    "connections": 1,
    "priority": 0,
    "timeout_ms": 1,
    "queue": 0,
    "queue_ms": 0,
    "body_limit": 0,
}
_MAXIMUM = 2**53
_MAX_NAME_LENGTH = 128
_DEFAULTS = records.TableRow(kind="", service="")


class Table:
    """A version of the services table.

    Attributes
    ----------
    version : int
        Offset of the record that set the table, -1 without one.
    rows : tuple of records.TableRow
        All rows, in the operator's order.
    services_by_name, servers_by_name : dict
        The rows of each kind by name.
    servers_by_service : dict of str to tuple of records.TableRow
        The servers of each service, in the operator's order.
    """

    def __init__(
        self, version: int, rows: tuple[records.TableRow, ...]
    ) -> None:
        self.version = version
        self.rows = rows
        self.services_by_name = {
            row.service: row for row in rows if row.kind == "service"
        }
        self.servers_by_name = {
            row.server: row for row in rows if row.kind == "server"
        }
        by_service: dict[str, list[records.TableRow]] = {
            name: [] for name in self.services_by_name
        }
        for row in self.servers_by_name.values():
            by_service[row.service].append(row)
        self.servers_by_service = {
            name: tuple(servers) for name, servers in by_service.items()
        }

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Table):
            return NotImplemented
        return self.version == other.version and self.rows == other.rows

    def domain_of(self, server: str) -> str:
        """Return the failure domain of a server, empty if unknown."""
        row = self.servers_by_name.get(server)
        return "" if row is None else row.domain


def from_csv(
    text: str,
) -> tuple[records.TableRow, ...] | outcomes.Refusal:
    """Return the rows of a CSV sheet, or what is wrong with it.

    Columns may be in any order, and columns with defaults may be missing.
    An empty cell means the default.
    """
    try:
        sheet = list(csv.reader(io.StringIO(text), strict=True))
    except csv.Error as error:
        return _invalid(1, "", str(error), "a CSV sheet")
    if not sheet:
        return _invalid(1, "", "an empty sheet", "a header row")
    header = [name.strip() for name in sheet[0]]
    for name in header:
        if name not in COLUMNS or header.count(name) > 1:
            return _invalid(1, name, repr(name), "each known column once")
    rows = []
    for row_number, cells in enumerate(sheet[1:], start=2):
        if not any(cell.strip() for cell in cells):
            continue
        row = _row_from_cells(row_number, header, cells)
        if isinstance(row, outcomes.Refusal):
            return row
        rows.append((row_number, row))
    return _check_rows(rows) or tuple(row for _, row in rows)


def to_csv(rows: collections.abc.Iterable[records.TableRow]) -> str:
    """Return rows as a CSV sheet."""
    sheet = io.StringIO()
    writer = csv.writer(sheet, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in rows:
        columns = ("kind", "service", *_COLUMNS_BY_KIND[row.kind])
        writer.writerow(
            _format_cell(getattr(row, column)) if column in columns else ""
            for column in COLUMNS
        )
    return sheet.getvalue()


def check(
    rows: collections.abc.Sequence[records.TableRow],
) -> outcomes.Refusal | None:
    """Return what is wrong with rows, or None.

    Rows are numbered as in their CSV sheet, where row 1 is the header.
    """
    return _check_rows(list(enumerate(rows, start=2)))


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def _row_from_cells(
    row_number: int, header: list[str], cells: list[str]
) -> records.TableRow | outcomes.Refusal:
    if len(cells) != len(header):
        return _invalid(
            row_number, "", f"{len(cells)} cells", f"{len(header)} cells"
        )
    values: dict[str, typing.Any] = {"kind": "", "service": ""}
    for column, cell in zip(header, (cell.strip() for cell in cells)):
        if not cell:
            continue
        default = getattr(_DEFAULTS, column)
        if isinstance(default, bool):
            if cell not in ("yes", "no"):
                return _invalid(row_number, column, repr(cell), "yes or no")
            values[column] = cell == "yes"
        elif isinstance(default, int):
            if not (cell.isascii() and cell.isdigit()):
                return _invalid(
                    row_number, column, repr(cell), "a whole number"
                )
            # int() raises for thousands of digits; a number of 20 digits
            # is already above the maximum.
            values[column] = int(cell[:20])
        else:
            values[column] = cell
    return records.TableRow(**values)


def _check_rows(
    rows: list[tuple[int, records.TableRow]],
) -> outcomes.Refusal | None:
    services: set[str] = set()
    for row_number, row in rows:
        refusal = _check_row(row_number, row)
        if refusal is not None:
            return refusal
        if row.kind == "service":
            if row.service in services:
                return _invalid(
                    row_number, "service", repr(row.service), "a unique name"
                )
            services.add(row.service)
    servers: set[str] = set()
    addresses: set[str] = set()
    for row_number, row in rows:
        if row.kind != "server":
            continue
        if row.service not in services:
            return _invalid(
                row_number,
                "service",
                repr(row.service),
                "the name of a service row",
            )
        if row.server in servers:
            return _invalid(
                row_number, "server", repr(row.server), "a unique name"
            )
        if row.address in addresses:
            return _invalid(
                row_number, "address", repr(row.address), "a unique address"
            )
        servers.add(row.server)
        addresses.add(row.address)
    return None


def _check_row(
    row_number: int, row: records.TableRow
) -> outcomes.Refusal | None:
    if row.kind not in _COLUMNS_BY_KIND:
        return _invalid(
            row_number, "kind", repr(row.kind), "service or server"
        )
    columns = ("kind", "service", *_COLUMNS_BY_KIND[row.kind])
    for column in COLUMNS:
        value = getattr(row, column)
        if column not in columns:
            if value != getattr(_DEFAULTS, column):
                return _invalid(
                    row_number,
                    column,
                    repr(value),
                    f"nothing in a {row.kind} row",
                )
            continue
        expected = _expected_values(column, value)
        if expected:
            return _invalid(row_number, column, repr(value), expected)
    return None


def _expected_values(column: str, value: typing.Any) -> str:
    """Return which values a column takes, or "" if the value is valid."""
    choices = _CHOICES_BY_COLUMN.get(column)
    if choices is not None:
        return "" if value in choices else " or ".join(choices)
    minimum = _MINIMUM_BY_COLUMN.get(column)
    if minimum is not None:
        if minimum <= value <= _MAXIMUM:
            return ""
        return f"a whole number from {minimum} to {_MAXIMUM}"
    if column in ("service", "server", "domain"):
        return (
            "" if _is_name(value) else "a name of letters, digits, -, _ or ."
        )
    if column == "address":
        return "" if _is_address(value) else "an IP address and a port"
    return ""


def _is_name(text: str) -> bool:
    return (
        0 < len(text) <= _MAX_NAME_LENGTH
        and text.isascii()
        and all(
            character.isalnum() or character in "-_." for character in text
        )
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 65536


def _invalid(
    row_number: int, column: str, found: str, expected: str
) -> outcomes.Refusal:
    location = f"row {row_number}" + (f", column {column}" if column else "")
    return outcomes.Refusal(
        codes.ResultCode.TABLE_INVALID,
        f"{location}: found {found}, expected {expected}",
    )
