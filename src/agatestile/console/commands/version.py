"""Command that prints the version of the program."""

from __future__ import annotations

import importlib.metadata

import click

from agatestile.console import exit_status


@click.command(epilog=exit_status.HELP)
def version() -> None:
    """Print the version of the program."""
    click.echo(importlib.metadata.version("agatestile"))
