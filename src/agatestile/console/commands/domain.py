"""Commands that take failure domains out of service and back in."""

from __future__ import annotations

import click

from agatestile.console import changes
from agatestile.console import exit_status
from agatestile.console import options


@click.group(epilog=exit_status.HELP)
def domain() -> None:
    """Take a failure domain out of service or back in."""


@domain.command(epilog=exit_status.HELP)
@click.argument("name")
@options.wait
@options.output
@options.admin
def out(
    name: str, seconds: float, output: str, operator: str, admin: str
) -> None:
    """Take the failure domain NAME out of service.

    Its servers get no new requests after 3 seconds, and its ranges move to
    the domains that are in service.
    """
    client = options.connect(admin, operator)
    answer = client.set_domain(name, "out")
    changes.report_and_exit(client, answer, seconds, output)


@domain.command("in", epilog=exit_status.HELP)
@click.argument("name")
@options.wait
@options.output
@options.admin
def bring_in(
    name: str, seconds: float, output: str, operator: str, admin: str
) -> None:
    """Take the failure domain NAME back into service."""
    client = options.connect(admin, operator)
    answer = client.set_domain(name, "in")
    changes.report_and_exit(client, answer, seconds, output)
