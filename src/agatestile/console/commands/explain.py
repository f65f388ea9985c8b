"""Shows why a key is served where it is."""

from __future__ import annotations

import click

from agatestile.console import exits
from agatestile.console import options
from agatestile.console import views
from agatestile.results import outcomes


@click.command(epilog=exits.HELP)
@click.argument("service")
@click.argument("key")
@options.output
@options.admin
def explain(
    service: str, key: str, output: str, operator: str, admin: str
) -> None:
    """Show owner, successors, gate and leader of KEY of SERVICE, and why.

    The answer is what the daemon that is asked knows.
    """
    answer = options.connect(admin, operator).explain(service, key)
    if isinstance(answer, outcomes.Refusal):
        exits.refuse(answer)
    click.echo(
        views.fields(answer) if output == "text" else views.json(answer)
    )
