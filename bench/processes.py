"""Starts, watches and stops the processes of a trial."""

from __future__ import annotations

import http.client
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import types

POLL_INTERVAL_SECONDS = 0.05


class NotReadyError(Exception):
    """A process exited or did not become ready in time."""


class Process(typing.NamedTuple):
    """A process that was started for a trial.

    Attributes
    ----------
    name : str
        Unique among the processes of one trial.
    handle : subprocess.Popen
        The running process.
    output : pathlib.Path
        File with its standard output and standard error.
    """

    name: str
    handle: subprocess.Popen[bytes]
    output: pathlib.Path

    def text(self) -> str:
        """Return the output written so far."""
        return self.output.read_text(encoding="utf-8", errors="replace")


class Processes:
    """Owns the processes of a trial and stops them when its block ends.

    The output of processes goes to a temporary directory. It is kept, and
    the end of each output printed, if the block ends with an error or
    `keep_output` is set.

    Attributes
    ----------
    directory : pathlib.Path
        The temporary directory.
    by_name : dict of str to Process
        All processes started, including those that have exited.
    keep_output : bool
        Whether to keep and print the output without an error too.
    """

    def __init__(self) -> None:
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="agatestile-"))
        self.by_name: dict[str, Process] = {}
        self.keep_output = False
        self._expected_to_end: set[str] = set()

    def __enter__(self) -> Processes:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.stop()
        if error is None and not self.keep_output:
            shutil.rmtree(self.directory, ignore_errors=True)
            return
        for name in self.by_name:
            self.show_output(name)

    def start(self, name: str, command: Sequence[str]) -> Process:
        """Start a process in the current directory."""
        output = self.directory / f"{name}.log"
        with output.open("wb") as stream:
            handle = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=subprocess.STDOUT,
            )
        process = Process(name, handle, output)
        self.by_name[name] = process
        self._expected_to_end.discard(name)
        return process

    def run(self, name: str, command: Sequence[str], timeout: float) -> str:
        """Run a process to its end and return its output.

        Raises
        ------
        NotReadyError
            If it fails or takes longer than the timeout, seconds.
        """
        process = self.start(name, command)
        self._expected_to_end.add(name)
        try:
            status = process.handle.wait(timeout)
        except subprocess.TimeoutExpired:
            self.stop(name, grace=0.5)
            raise NotReadyError(
                f"{name} took longer than {timeout} s"
            ) from None
        if status:
            raise NotReadyError(
                f"{name} exited with status {status}: {process.text()[-500:]}"
            )
        return process.text()

    def wait_until(
        self, what: str, check: Callable[[], bool], timeout: float
    ) -> None:
        """Wait until a check succeeds.

        Raises
        ------
        NotReadyError
            If a process of the trial exits first, or after the timeout,
            seconds.
        """
        end = time.monotonic() + timeout
        while not check():
            ended = self.ended()
            if ended:
                raise NotReadyError(
                    f"waiting for {what}, but these exited: {ended}"
                )
            if time.monotonic() > end:
                raise NotReadyError(f"{what}: timed out after {timeout} s")
            time.sleep(POLL_INTERVAL_SECONDS)

    def ended(self) -> list[str]:
        """Return the names of processes that exited unexpectedly."""
        return [
            name
            for name, process in self.by_name.items()
            if name not in self._expected_to_end
            and process.handle.poll() is not None
        ]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.by_name[name].handle.send_signal(number)

    def expect_end(self, name: str) -> None:
        """Stop reporting a process as ended when it exits."""
        self._expected_to_end.add(name)

    def kill(self, name: str) -> None:
        """Kill one process and wait until it has exited."""
        self._expected_to_end.add(name)
        self.signal(name, signal.SIGKILL)
        self.by_name[name].handle.wait()

    def stop(self, *names: str, grace: float = 10.0) -> dict[str, int]:
        """Stop processes by SIGTERM, after a grace period by SIGKILL.

        Parameters
        ----------
        *names : str
            Names of processes; all of them if none is given.
        grace : float
            Time between the two signals, seconds.

        Returns
        -------
        dict of str to int
            Exit statuses by name; -9 for processes that were killed.
        """
        chosen = [self.by_name[name] for name in names or self.by_name]
        for process in chosen:
            self._expected_to_end.add(process.name)
            if process.handle.poll() is None:
                process.handle.send_signal(signal.SIGCONT)
                process.handle.terminate()
        end = time.monotonic() + grace
        for process in chosen:
            try:
                process.handle.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.handle.kill()
                process.handle.wait()
        return {item.name: item.handle.returncode for item in chosen}

    def show_output(self, name: str, lines: int = 15) -> None:
        """Print the last lines of the output of a process."""
        process = self.by_name[name]
        print(
            f"--- {name}, status {process.handle.poll()}, {process.output}",
            file=sys.stderr,
        )
        for line in process.text().splitlines()[-lines:]:
            print(f"    {line[:300]}", file=sys.stderr)


def python(module: str, *arguments: str) -> list[str]:
    """Return the command that runs a module of this repository."""
    return [sys.executable, "-m", module, *arguments]


def http_get(address: str, path: str, timeout: float = 2.0) -> Response | None:
    """Return the response to one GET, None if there is none."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return Response(response.status, response.read())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Response(typing.NamedTuple):
    """Status and body of an HTTP response."""

    status: int
    body: bytes


def is_ready(address: str, path: str) -> bool:
    """Return whether a GET is answered with status 200."""
    response = http_get(address, path)
    return response is not None and response.status == 200


def is_in_use(address: str) -> bool:
    """Return whether an address is in use."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError:
            return True
    return False


def memory_bytes(pid: int) -> int:
    """Return the resident memory of a process, bytes."""
    statistics = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(statistics.split()[1]) * os.sysconf("SC_PAGE_SIZE")
