"""Shows the version of the program."""

from __future__ import annotations

import importlib.metadata

import click

from agatestile.console import exits


@click.command(epilog=exits.HELP)
def version() -> None:
    """Print the version of the program."""
    click.echo(importlib.metadata.version("agatestile"))
