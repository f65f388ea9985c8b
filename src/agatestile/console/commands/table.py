"""Shows, checks and replaces the services table."""

from __future__ import annotations

import pathlib
import re

import click

from agatestile.console import changes
from agatestile.console import exits
from agatestile.console import options
from agatestile.console import views
from agatestile.results import outcomes
from agatestile.state import table as state_table

_VERSION = re.compile(r"current|-1|[0-9]{1,18}")
_SHEET = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@click.group(epilog=exits.HELP)
def table() -> None:
    """Show, check or replace the services table."""


@table.command(epilog=exits.HELP)
@options.output
@options.admin
def show(output: str, operator: str, admin: str) -> None:
    """Show the services table in force and its version."""
    answer = options.connect(admin, operator).table()
    if isinstance(answer, outcomes.Refusal):
        exits.refuse(answer)
    click.echo(views.sheet(answer) if output == "text" else views.json(answer))


@table.command(epilog=exits.HELP)
@click.argument("file", type=_SHEET)
def check(file: pathlib.Path) -> None:
    """Check the CSV sheet FILE without asking a daemon."""
    rows = state_table.from_csv(_read(file))
    if isinstance(rows, outcomes.Refusal):
        exits.refuse(rows._replace(reason=f"{file}: {rows.reason}"))
    click.echo(f"{file}: {len(rows)} rows, valid")


@table.command(epilog=exits.HELP)
@click.argument("file", type=_SHEET)
@click.option(
    "--base",
    required=True,
    metavar="N|current",
    help="Version that the sheet was made from; -1 for the first table.",
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
    """Replace the services table with the CSV sheet FILE.

    If the table is no longer at the version given with --base, the change
    is refused with TABLE_CONFLICT and the version in force. "current"
    replaces whatever is in force.
    """
    if not _VERSION.fullmatch(base):
        raise click.BadParameter(
            f"found {base!r}, expected a version or current",
            param_hint="--base",
        )
    client = options.connect(admin, operator)
    answer = client.apply_table(_read(file), base)
    changes.finish(client, answer, seconds, output)


@table.command(epilog=exits.HELP)
@click.argument(
    "file",
    type=click.Path(dir_okay=False, writable=True, path_type=pathlib.Path),
)
@options.admin
def export(file: pathlib.Path, operator: str, admin: str) -> None:
    """Write the services table in force to the CSV sheet FILE.

    The version, needed to apply the sheet again, is printed.
    """
    answer = options.connect(admin, operator).table()
    if isinstance(answer, outcomes.Refusal):
        exits.refuse(answer)
    file.write_text(answer["csv"], encoding="utf-8")
    click.echo(f"version {answer['version']}")


def _read(file: pathlib.Path) -> str:
    try:
        # A byte order mark is what spreadsheet programs write first.
        return file.read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        raise click.BadParameter(
            f"{file}: {error}", param_hint="FILE"
        ) from error
