"""Marks hosts as leaving or returned."""

from __future__ import annotations

import click

from agatestile.console import changes
from agatestile.console import exits
from agatestile.console import options


@click.group(epilog=exits.HELP)
def host() -> None:
    """Let a host leave, or mark it as returned."""


@host.command(epilog=exits.HELP)
@click.argument("name")
@options.wait
@options.output
@options.admin
def leave(
    name: str, seconds: float, output: str, operator: str, admin: str
) -> None:
    """Let the host NAME give up its gates and leadership.

    Its running requests finish, and it only forwards from then on.
    """
    client = options.connect(admin, operator)
    answer = client.set_host(name, "leaving")
    changes.finish(client, answer, seconds, output)


@host.command("return", epilog=exits.HELP)
@click.argument("name")
@options.wait
@options.output
@options.admin
def come_back(
    name: str, seconds: float, output: str, operator: str, admin: str
) -> None:
    """Mark the host NAME as returned."""
    client = options.connect(admin, operator)
    answer = client.set_host(name, "active")
    changes.finish(client, answer, seconds, output)
