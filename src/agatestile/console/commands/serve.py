"""Command that runs a daemon."""

from __future__ import annotations

import importlib
import pathlib

import click

from agatestile.console import exit_status
from agatestile.results import outcomes
from agatestile.settings import loader


@click.command(epilog=exit_status.HELP)
@click.option(
    "--config",
    "path",
    type=click.Path(path_type=pathlib.Path),
    metavar="FILE",
    required=True,
    help="YAML file with the settings of this host.",
)
def serve(path: pathlib.Path) -> None:
    """Run the daemon of this host until it receives SIGTERM or SIGINT.

    Running requests finish before it exits.
    """
    settings = loader.load(path)
    if isinstance(settings, outcomes.Refusal):
        exit_status.exit_refused(settings)
    # Imported here so that the other commands start faster.
    daemon = importlib.import_module("agatestile.daemon.daemon")
    daemon.run(settings)
