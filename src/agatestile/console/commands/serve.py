"""Runs a daemon."""

from __future__ import annotations

import importlib
import pathlib

import click

from agatestile.console import exits
from agatestile.results import outcomes
from agatestile.settings import loader


@click.command(epilog=exits.HELP)
@click.option(
    "--config",
    "path",
    type=click.Path(path_type=pathlib.Path),
    metavar="FILE",
    required=True,
    help="Settings of this host, YAML.",
)
def serve(path: pathlib.Path) -> None:
    """Run the daemon of this host until it is told to stop.

    SIGTERM or SIGINT lets the running requests finish first.
    """
    settings = loader.load(path)
    if isinstance(settings, outcomes.Refusal):
        exits.refuse(settings)
    # Imported here, since the other commands start faster without it.
    daemon = importlib.import_module("agatestile.daemon.daemon")
    daemon.run(settings)
