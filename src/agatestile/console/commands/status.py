"""Command that shows the status of all hosts."""

from __future__ import annotations

import click

from agatestile.console import exit_status
from agatestile.console import formatting
from agatestile.console import options
from agatestile.results import outcomes


@click.command(epilog=exit_status.HELP)
@options.output
@options.admin
def status(output: str, operator: str, admin: str) -> None:
    """Show the status of every host in the membership list.

    The JSON output also contains grants, limits and violations in full.
    """
    answer = options.connect(admin, operator).status()
    if isinstance(answer, outcomes.Refusal):
        exit_status.exit_refused(answer)
    click.echo(
        formatting.format_status(answer)
        if output == "text"
        else formatting.to_json(answer)
    )
