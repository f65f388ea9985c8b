"""Commands that show, check, export and replace the services table."""

from __future__ import annotations

import pathlib
import re

import click

from agatestile.console import changes
from agatestile.console import exit_status
from agatestile.console import formatting
from agatestile.console import options
from agatestile.results import outcomes
from agatestile.state import table as state_table

_VERSION = re.compile(r"current|-1|[0-9]{1,18}")
_CSV_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@click.group(epilog=exit_status.HELP)
def table() -> None:
    """Show, check, export or replace the services table."""


@table.command(epilog=exit_status.HELP)
@options.output
@options.admin
def show(output: str, operator: str, admin: str) -> None:
    """Show the services table in force and its version."""
    answer = options.connect(admin, operator).table()
    if isinstance(answer, outcomes.Refusal):
        exit_status.exit_refused(answer)
    click.echo(
        formatting.format_table(answer)
        if output == "text"
        else formatting.to_json(answer)
    )


@table.command(epilog=exit_status.HELP)
@click.argument("file", type=_CSV_FILE)
def check(file: pathlib.Path) -> None:
    """Check the CSV file FILE without contacting a daemon."""
    rows = state_table.from_csv(_read_csv(file))
    if isinstance(rows, outcomes.Refusal):
        exit_status.exit_refused(
            rows._replace(reason=f"{file}: {rows.reason}")
        )
    click.echo(f"{file}: {len(rows)} rows, valid")


@table.command(epilog=exit_status.HELP)
@click.argument("file", type=_CSV_FILE)
@click.option(
    "--base",
    required=True,
    metavar="N|current",
    help="Version from which FILE was made; -1 for the first table.",
)
@options.wait
@options.output
@options.admin
def apply(
    file: pathlib.Path,
    base: str,
    seconds: float,
    output: str,
    operator: str,
    admin: str,
) -> None:
    """Replace the services table with the CSV file FILE.

    If the table is no longer at the version given with --base, the change
    is refused with TABLE_CONFLICT and the version in force. "current"
    replaces the table whatever its version.
    """
    if not _VERSION.fullmatch(base):
        raise click.BadParameter(
            f"found {base!r}, expected a version or current",
            param_hint="--base",
        )
    client = options.connect(admin, operator)
    answer = client.apply_table(_read_csv(file), base)
    changes.report_and_exit(client, answer, seconds, output)


@table.command(epilog=exit_status.HELP)
@click.argument(
    "file",
    type=click.Path(dir_okay=False, writable=True, path_type=pathlib.Path),
)
@options.admin
def export(file: pathlib.Path, operator: str, admin: str) -> None:
    """Write the services table in force to the CSV file FILE.

    Its version, which is needed to apply the file again, is printed.
    """
    answer = options.connect(admin, operator).table()
    if isinstance(answer, outcomes.Refusal):
        exit_status.exit_refused(answer)
    file.write_text(answer["csv"], encoding="utf-8")
    click.echo(f"version {answer['version']}")


def _read_csv(file: pathlib.Path) -> str:
    try:
        # Spreadsheet programs write a byte order mark at the start.
        return file.read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        raise click.BadParameter(
            f"{file}: {error}", param_hint="FILE"
        ) from error
