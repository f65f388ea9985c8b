"""Loopback proxies on the links between the processes of a soak."""

from __future__ import annotations

import asyncio
import enum
import os
import typing

HOLD_INTERVAL_SECONDS = 0.01
"""Interval at which a link that holds bytes looks whether it has healed."""

SLOW_SECONDS = 0.25
"""Delay of each piece of data on a slow link."""

ESTABLISHED = "01"
"""State of an open connection in the table of the kernel."""


class Mode(enum.Enum):
    """State of a link."""

    OPEN = "open"
    SILENT = "silent"
    NO_REQUESTS = "no requests"
    NO_ANSWERS = "no answers"
    REFUSING = "refusing"
    SLOW = "slow"


_WITHOUT_REQUESTS = (Mode.SILENT, Mode.NO_REQUESTS)
_WITHOUT_ANSWERS = (Mode.SILENT, Mode.NO_ANSWERS)


class Caller(typing.Protocol):
    """A process that connects to proxies."""

    name: str

    @property
    def pid(self) -> int | None:
        """Identifier of the process while it runs."""


class Proxy:
    """Loopback proxy in front of one port.

    Parameters
    ----------
    port : int
        Port to which it passes connections on.
    callers : sequence of Caller, optional
        Processes that connect. The state of the link can differ between
        them; without them all connections share the state of caller "".
    """

    def __init__(
        self, port: int, callers: typing.Sequence[Caller] = ()
    ) -> None:
        self._target = port
        self._callers = callers
        self._mode_by_caller: dict[str, Mode] = {}
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._listening: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> int:
        """Start to listen and return the port."""
        self._listening = await asyncio.start_server(
            self._serve, "127.0.0.1", 0
        )
        self.port = self._listening.sockets[0].getsockname()[1]
        return self.port

    async def stop(self) -> None:
        """Close all connections and stop to listen."""
        for caller in set(self._writers.values()):
            self.reset(caller)
        if self._listening is not None:
            self._listening.close()
            await self._listening.wait_closed()

    def set_mode(self, mode: Mode, caller: str = "") -> None:
        """Set the state of the link from a caller."""
        self._mode_by_caller[caller] = mode
        if mode is Mode.REFUSING:
            self.reset(caller)

    def mode(self, caller: str = "") -> Mode:
        """Return the state of the link from a caller."""
        return self._mode_by_caller.get(caller, Mode.OPEN)

    def reset(self, caller: str = "") -> None:
        """Close all connections of a caller."""
        for writer, name in list(self._writers.items()):
            if name == caller:
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[1]
        caller = find_caller(self._callers, source, self.port)
        if caller is None or self.mode(caller) is Mode.REFUSING:
            writer.transport.abort()
            return
        writers = [writer]
        self._writers[writer] = caller
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self._target
            )
            writers.append(upstream_writer)
            self._writers[upstream_writer] = caller
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(
                    self._copy(
                        reader, upstream_writer, caller, _WITHOUT_REQUESTS
                    )
                )
                tasks.create_task(
                    self._copy(
                        upstream_reader, writer, caller, _WITHOUT_ANSWERS
                    )
                )
        except* (OSError, asyncio.CancelledError):
            # When one side closes, both connections are closed.
            pass
        finally:
            for one in writers:
                del self._writers[one]
                one.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: str,
        held: tuple[Mode, ...],
    ) -> None:
        while data := await reader.read(65536):
            if self.mode(caller) is Mode.SLOW:
                await asyncio.sleep(SLOW_SECONDS)
            while self.mode(caller) in held:
                await asyncio.sleep(HOLD_INTERVAL_SECONDS)
            writer.write(data)
            await writer.drain()
        writer.close()


def find_caller(
    callers: typing.Sequence[Caller], source: int, target: int
) -> str | None:
    """Return the name of the process that opened a loopback connection.

    Parameters
    ----------
    callers : sequence of Caller
        Processes to choose from.
    source, target : int
        Ports of the connection at its caller and at the proxy.

    Returns
    -------
    str or None
        The name, "" without callers, None if the process closed the
        connection or is none of the callers.
    """
    if not callers:
        return ""
    link = f"socket:[{_find_inode(source, target)}]"
    for caller in callers:
        if caller.pid is not None and _has_open(caller.pid, link):
            return caller.name
    return None


def _find_inode(source: int, target: int) -> str:
    ends = f":{source:04X}", f":{target:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if (
                fields[1].endswith(ends[0])
                and fields[2].endswith(ends[1])
                and fields[3] == ESTABLISHED
            ):
                return fields[9]
    return ""


def _has_open(pid: int, link: str) -> bool:
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except FileNotFoundError:
        # The process has ended.
        return False
    for name in names:
        try:
            if os.readlink(f"{folder}/{name}") == link:
                return True
        except FileNotFoundError:
            # It has been closed since the folder was listed.
            continue
    return False
