"""Takes failure domains out of service and back in."""

from __future__ import annotations

import click

from agatestile.console import changes
from agatestile.console import exits
from agatestile.console import options


@click.group(epilog=exits.HELP)
def domain() -> None:
    """Take a failure domain out of service or back in."""


@domain.command(epilog=exits.HELP)
@click.argument("name")
@options.wait
@options.output
@options.admin
def out(
    name: str, seconds: float, output: str, operator: str, admin: str
) -> None:
    """Take the failure domain NAME out of service.

    Its servers get no new work after 3 seconds; its ranges move to the
    domains that are in.
    """
    client = options.connect(admin, operator)
    answer = client.set_domain(name, "out")
    changes.finish(client, answer, seconds, output)


@domain.command("in", epilog=exits.HELP)
@click.argument("name")
@options.wait
@options.output
@options.admin
def back(
    name: str, seconds: float, output: str, operator: str, admin: str
) -> None:
    """Take the failure domain NAME back into service."""
    client = options.connect(admin, operator)
    answer = client.set_domain(name, "in")
    changes.finish(client, answer, seconds, output)
