"""Entry point of the command line."""

from __future__ import annotations

import click

from agatestile.console.commands import domain
from agatestile.console.commands import explain
from agatestile.console.commands import host
from agatestile.console.commands import serve
from agatestile.console.commands import status
from agatestile.console.commands import table
from agatestile.console.commands import version
from agatestile.console import exits


@click.group(epilog=exits.HELP)
def main() -> None:
    """Route requests to backend servers that own keys exclusively."""


main.add_command(domain.domain)
main.add_command(explain.explain)
main.add_command(host.host)
main.add_command(serve.serve)
main.add_command(status.status)
main.add_command(table.table)
main.add_command(version.version)
