"""Command that explains which server and gate serve a key."""

from __future__ import annotations

import click

from agatestile.console import exit_status
from agatestile.console import formatting
from agatestile.console import options
from agatestile.results import outcomes


@click.command(epilog=exit_status.HELP)
@click.argument("service")
@click.argument("key")
@options.output
@options.admin
def explain(
    service: str, key: str, output: str, operator: str, admin: str
) -> None:
    """Show the owner, successors, gate and leader of KEY in SERVICE, and why.

    The answer shows what the contacted daemon knows.
    """
    answer = options.connect(admin, operator).explain(service, key)
    if isinstance(answer, outcomes.Refusal):
        exit_status.exit_refused(answer)
    click.echo(
        formatting.format_fields(answer)
        if output == "text"
        else formatting.to_json(answer)
    )
