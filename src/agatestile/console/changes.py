"""Waits until a change is in force and reports the hosts that have it."""

from __future__ import annotations

import sys
import time
import typing

import click

from agatestile.console import exit_status
from agatestile.console import formatting
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.admin import client as admin_client

POLL_INTERVAL = 0.2  # seconds


def report_and_exit(
    client: admin_client.AdminClient,
    answer: admin_client.Answer,
    timeout: float,
    output: str,
) -> typing.NoReturn:
    """Wait for a change if requested, print where it is in force, and exit.

    Parameters
    ----------
    client : admin_client.AdminClient
        Client of the daemon that accepted the change.
    answer : dict or outcomes.Refusal
        Answer of the daemon to the change.
    timeout : float
        Longest wait for hosts that respond but have not applied the change,
        seconds.
    output : str
        "text" or "json".
    """
    if isinstance(answer, outcomes.Refusal):
        exit_status.exit_refused(answer)
    deadline = time.monotonic() + timeout
    while answer["pending"] and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL)
        newer = client.confirmations(answer["offset"])
        if not isinstance(newer, outcomes.Refusal):
            answer = newer
    click.echo(
        _format_text(answer)
        if output == "text"
        else formatting.to_json(answer)
    )
    if answer["pending"] or answer["unreachable"]:
        sys.exit(exit_status.ExitStatus.NOT_EVERYWHERE)
    sys.exit(exit_status.ExitStatus.DONE)


def _format_text(answer: dict[str, typing.Any]) -> str:
    lines = [
        f"accepted as version {answer['offset']}",
        f"in force on: {', '.join(answer['in_force']) or 'no host'}",
    ]
    if answer["pending"]:
        lines.append(f"not yet on: {', '.join(answer['pending'])}")
    lines += [
        f"not confirmed by: {host} ({reason})"
        for host, reason in answer["unreachable"].items()
    ]
    return "\n".join(lines)
