"""Commands that mark hosts as leaving or returned."""

from __future__ import annotations

import click

from agatestile.console import changes
from agatestile.console import exit_status
from agatestile.console import options


@click.group(epilog=exit_status.HELP)
def host() -> None:
    """Mark a host as leaving or returned."""


@host.command(epilog=exit_status.HELP)
@click.argument("name")
@options.wait
@options.output
@options.admin
def leave(
    name: str, seconds: float, output: str, operator: str, admin: str
) -> None:
    """Make the host NAME give up its gates and leadership.

    Its running requests finish; from then on it only forwards requests.
    """
    client = options.connect(admin, operator)
    answer = client.set_host(name, "leaving")
    changes.report_and_exit(client, answer, seconds, output)


@host.command("return", epilog=exit_status.HELP)
@click.argument("name")
@options.wait
@options.output
@options.admin
def mark_returned(
    name: str, seconds: float, output: str, operator: str, admin: str
) -> None:
    """Mark the host NAME as returned."""
    client = options.connect(admin, operator)
    answer = client.set_host(name, "active")
    changes.report_and_exit(client, answer, seconds, output)
