"""Exit statuses of the commands."""

from __future__ import annotations

import enum
import sys
import typing

import click

from agatestile.results import codes

if typing.TYPE_CHECKING:
    from agatestile.results import outcomes


class ExitStatus(enum.IntEnum):
    """Result of a command, with the same meaning for all commands."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    OUTCOME_UNKNOWN = 4
    NOT_EVERYWHERE = 5


HELP = (
    "\b\nExit statuses: 0 done, 1 refused, 2 wrong usage, 3 daemon not "
    "reached,\n4 outcome unknown, 5 accepted but not in force on every host."
)

_STATUS_BY_CODE = {
    codes.ResultCode.SERVER_UNREACHABLE: ExitStatus.UNREACHABLE,
    codes.ResultCode.LOG_OUTCOME_UNKNOWN: ExitStatus.OUTCOME_UNKNOWN,
    codes.ResultCode.OUTCOME_UNKNOWN: ExitStatus.OUTCOME_UNKNOWN,
}


def exit_refused(refusal: outcomes.Refusal) -> typing.NoReturn:
    """Print a refusal to standard error and exit with its status."""
    click.echo(str(refusal), err=True)
    sys.exit(_STATUS_BY_CODE.get(refusal.code, ExitStatus.REFUSED))
