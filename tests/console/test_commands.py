"""Tests commands against the admin interface of a daemon."""

from __future__ import annotations

import collections.abc
import json
import pathlib
import socket
import threading

import click
from click import testing
import pytest

from agatestile.console.commands import root
from agatestile.console.exit_status import ExitStatus
from agatestile.results import codes
from agatestile.results import outcomes
from tests.admin import support
from tests import documents


class _Daemon:
    """A harness with the address of its admin interface."""

    def __init__(
        self, harness: support.OperationsHarness, address: str
    ) -> None:
        self.harness = harness
        self.address = address

    def run(self, *arguments: str) -> testing.Result:
        """Run a command against this daemon."""
        return testing.CliRunner().invoke(
            root.root,
            arguments,
            env={"AGATESTILE_ADMIN": self.address},
        )


@pytest.fixture
def daemon() -> collections.abc.Iterator[_Daemon]:
    harness = support.OperationsHarness().with_table()
    with support.serve(harness) as address:
        yield _Daemon(harness, address)


@pytest.fixture
def table_path(tmp_path: pathlib.Path) -> str:
    path = tmp_path / "services.csv"
    path.write_text(support.TABLE_CSV, encoding="utf-8")
    return str(path)


def _commands(
    command: click.Command, path: tuple[str, ...] = ()
) -> collections.abc.Iterator[tuple[str, ...]]:
    yield path
    if isinstance(command, click.Group):
        for name, inner in command.commands.items():
            yield from _commands(inner, (*path, name))


def _find(path: tuple[str, ...]) -> click.Command:
    command: click.Command = root.root
    for name in path:
        assert isinstance(command, click.Group)
        command = command.commands[name]
    return command


@pytest.mark.parametrize("path", list(_commands(root.root)), ids=" ".join)
def test_help_of_each_command_documents_the_exit_statuses(
    path: tuple[str, ...],
) -> None:
    """Guards against a command whose help lacks the exit statuses."""
    result = testing.CliRunner().invoke(root.root, [*path, "--help"])
    assert result.exit_code == 0
    for status in ExitStatus:
        assert f" {int(status)} " in result.output


def test_exported_table_can_be_applied_again(
    daemon: _Daemon, tmp_path: pathlib.Path
) -> None:
    """Guards against an export that differs from the table in force."""
    path = str(tmp_path / "out.csv")
    assert daemon.run("table", "export", path).output == "version 0\n"
    rows = daemon.harness.state.table.rows
    applied = daemon.run("table", "apply", path, "--base", "0")
    assert applied.exit_code == ExitStatus.DONE, applied.output
    assert "in force on: entry-1" in applied.output
    assert daemon.harness.state.table.rows == rows


def test_conflict_prints_the_code_and_the_version_in_force(
    daemon: _Daemon, table_path: str
) -> None:
    """Guards against an operator who overwrites another operator's change."""
    daemon.run("table", "apply", table_path, "--base", "0")
    lost = daemon.run("table", "apply", table_path, "--base", "0")
    assert lost.exit_code == ExitStatus.REFUSED
    assert "TABLE_CONFLICT (400)" in lost.stderr
    assert "version 2" in lost.stderr


def test_base_current_needs_no_version(
    daemon: _Daemon, table_path: str
) -> None:
    """Guards against a conflict where the operator asked for none."""
    done = daemon.run("table", "apply", table_path, "--base", "current")
    assert done.exit_code == ExitStatus.DONE
    assert "accepted as version 2" in done.output


def test_wait_ends_once_every_reachable_host_has_the_change(
    daemon: _Daemon, table_path: str
) -> None:
    """Guards against reporting a change as done before it is in force."""
    daemon.harness.peers.answers["entry-2"] = support.peer_status("entry-2", 0)
    apply = (
        "table",
        "apply",
        table_path,
        "--base",
        "current",
        "--output",
        "json",
    )
    early = daemon.run(*apply)
    assert early.exit_code == ExitStatus.NOT_EVERYWHERE
    assert json.loads(early.output)["pending"] == ["entry-2"]
    done = daemon.run(*apply, "--wait", "5")
    assert done.exit_code == ExitStatus.DONE
    assert json.loads(done.output)["in_force"] == ["entry-1", "entry-2"]


def test_host_that_does_not_respond_is_named(
    daemon: _Daemon, table_path: str
) -> None:
    """Guards against hiding a host that may not have the change."""
    daemon.harness.peers.answers["entry-4"] = support.UNREACHABLE_PEER
    result = daemon.run(
        "table", "apply", table_path, "--base", "current", "--wait", "1"
    )
    assert result.exit_code == ExitStatus.NOT_EVERYWHERE
    assert "not confirmed by: entry-4" in result.output


@pytest.mark.parametrize(
    ("code", "status"),
    [
        (codes.ResultCode.LOG_UNAVAILABLE, ExitStatus.REFUSED),
        (codes.ResultCode.LOG_OUTCOME_UNKNOWN, ExitStatus.OUTCOME_UNKNOWN),
    ],
)
@pytest.mark.parametrize(
    "arguments",
    [("domain", "out", "radom"), ("host", "leave", "entry-1")],
    ids=" ".join,
)
def test_exit_status_distinguishes_refused_from_unknown(
    daemon: _Daemon,
    arguments: tuple[str, ...],
    code: codes.ResultCode,
    status: ExitStatus,
) -> None:
    """Guards against a script that repeats a change that may be in force."""
    daemon.harness.appender.refusal = outcomes.Refusal(code, "log is down")
    result = daemon.run(*arguments)
    assert result.exit_code == status
    assert code.name in result.stderr


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        (("status",), ExitStatus.UNREACHABLE),
        (("table", "show"), ExitStatus.UNREACHABLE),
        (("domain", "in", "radom"), ExitStatus.UNREACHABLE),
        (("host", "return"), ExitStatus.USAGE),
        (("status", "--admin", "nowhere"), ExitStatus.USAGE),
        (("serve",), ExitStatus.USAGE),
        (("serve", "--config", "/none.yaml"), ExitStatus.REFUSED),
        (("table", "check", __file__), ExitStatus.REFUSED),
        (("table", "apply", __file__, "--base", "x"), ExitStatus.USAGE),
    ],
)
def test_command_that_reaches_no_daemon_fails_with_its_status(
    arguments: tuple[str, ...], status: ExitStatus
) -> None:
    """Guards against wrong usage reported as an unreachable daemon."""
    unreachable = _Daemon(support.OperationsHarness(), "127.0.0.1:1")
    assert unreachable.run(*arguments).exit_code == status


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        (("status",), ExitStatus.UNREACHABLE),
        (("domain", "out", "radom"), ExitStatus.OUTCOME_UNKNOWN),
    ],
)
def test_connection_closed_without_an_answer_has_its_status(
    arguments: tuple[str, ...], status: ExitStatus
) -> None:
    """Guards against a change of unknown outcome reported as not made."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def close_after_request() -> None:
            connection, _ = listener.accept()
            connection.recv(4096)
            connection.close()

        thread = threading.Thread(target=close_after_request, daemon=True)
        thread.start()
        port = listener.getsockname()[1]
        result = _Daemon(support.OperationsHarness(), f"127.0.0.1:{port}").run(
            *arguments
        )
        thread.join(5)
    assert result.exit_code == status


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (("domain", "out", "radom"), "in force on: entry-1"),
        (("host", "leave", "entry-1"), "in force on: entry-1"),
        (("status",), "domain radom: in, leader entry-2"),
        (("status", "--output", "json"), '"asked":"entry-1"'),
        (("explain", "prices", "a key"), "why           unassigned"),
        (("explain", "prices", "k", "--output", "json"), '"owner":""'),
        (("table", "show"), "price-02"),
        (("version",), "0."),
    ],
)
def test_output_shows_the_requested_data(
    daemon: _Daemon, arguments: tuple[str, ...], expected: str
) -> None:
    """Guards against a command that succeeds without showing its result."""
    result = daemon.run(*arguments)
    assert result.exit_code == ExitStatus.DONE, result.output
    assert expected in result.output


def test_documentation_lists_each_exit_status() -> None:
    """Guards against an exit status that docs/cli.md omits."""
    rows = documents.table_rows("cli.md", "| status | meaning |")
    assert [int(row[0]) for row in rows] == [
        int(status) for status in ExitStatus
    ]


@pytest.mark.parametrize(
    "path",
    [
        path
        for path in _commands(root.root)
        if not isinstance(_find(path), click.Group)
    ],
    ids=" ".join,
)
def test_documentation_describes_each_command(path: tuple[str, ...]) -> None:
    """Guards against a command that docs/cli.md omits."""
    text = (documents.DOCS / "cli.md").read_text(encoding="utf-8")
    assert f"`agatestile {' '.join(path)}" in text
