"""Command that shows the log lines of one request."""

from __future__ import annotations

import itertools
import pathlib

import click

from agatestile.console import exit_status
from agatestile.observability import timeline
from agatestile.results import codes
from agatestile.results import outcomes


@click.command(epilog=exit_status.HELP)
@click.argument("request_id")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(path_type=pathlib.Path, exists=True, dir_okay=False),
)
def trace(request_id: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Show the lines of REQUEST_ID in LOGS and the events that explain them.

    LOGS are files of structured logs from any number of hosts.
    """
    texts = itertools.chain.from_iterable(
        path.read_text("utf-8", "replace").splitlines() for path in logs
    )
    lines = timeline.lines_of_request(request_id, texts)
    if not lines:
        exit_status.exit_refused(
            outcomes.Refusal(
                codes.ResultCode.NAME_UNKNOWN,
                f"no line names request {request_id}; include the logs of"
                " the host that answered it",
            )
        )
    for line in lines:
        other_fields = " ".join(
            f"{name}={value}"
            for name, value in line.items()
            if name not in ("time", "host", "event") and value != ""
        )
        click.echo(
            f"{line['time']:.4f} {line['host']} {line['event']} {other_fields}"
        )
