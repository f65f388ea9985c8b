"""Shows the status of all hosts."""

from __future__ import annotations

import click

from agatestile.console import exits
from agatestile.console import options
from agatestile.console import views
from agatestile.results import outcomes


@click.command(epilog=exits.HELP)
@options.output
@options.admin
def status(output: str, operator: str, admin: str) -> None:
    """Show the status of every host of the membership list.

    The form json also has grants, limits and violations in full.
    """
    answer = options.connect(admin, operator).status()
    if isinstance(answer, outcomes.Refusal):
        exits.refuse(answer)
    click.echo(views.hosts(answer) if output == "text" else views.json(answer))
