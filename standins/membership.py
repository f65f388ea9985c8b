"""Stand-in for the platform's membership list, section 14.1 of docs/design.md.

The file with the hosts is a YAML list of objects with the keys of
``GET /hosts``; a missing ``state`` means "live". ``POST /control`` takes a
JSON object with any of these keys:

- ``outage``: if true, ``GET /hosts`` gets status 503;
- ``lag_ms``: delay until changes of state are visible, milliseconds;
- ``states``: new states by host: "live", "leaving", or "absent" for a
  host that is no longer listed.
"""

from __future__ import annotations

import pathlib
import time
import typing

import click
import msgspec
import yaml

from standins import serving

State = typing.Literal["live", "leaving", "absent"]


class Entry(msgspec.Struct, forbid_unknown_fields=True):
    """A host of the list."""

    host: str
    failure_domain: str
    peers: str
    forward: str
    admin: str
    state: State = "live"


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """Changes to apply, as sent to ``POST /control``."""

    outage: bool | None = None
    lag_ms: int | None = None
    states: dict[str, State] = {}


class Membership:
    """ASGI application that lists the hosts.

    Parameters
    ----------
    entries : list of Entry
        Initial list of hosts.
    lag : float
        Delay until changes of state are visible, seconds.
    """

    def __init__(self, entries: list[Entry], lag: float = 0.0) -> None:
        self.outage = False
        self.lag = lag
        self._entries_by_host = {entry.host: entry for entry in entries}
        self._changes: list[tuple[float, str, State]] = []

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Membership:
        """Read the hosts from a YAML file."""
        text = path.read_text(encoding="utf-8")
        return cls(msgspec.convert(yaml.safe_load(text), list[Entry]))

    def entries_at(self, now: float) -> list[Entry]:
        """Return the list of hosts that is visible at a monotonic time."""
        while self._changes and self._changes[0][0] <= now:
            _, host, state = self._changes.pop(0)
            entry = self._entries_by_host[host]
            self._entries_by_host[host] = msgspec.structs.replace(
                entry, state=state
            )
        return [
            entry
            for entry in self._entries_by_host.values()
            if entry.state != "absent"
        ]

    async def __call__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Handle one request."""
        request = (scope["method"], scope["path"])
        if request == ("GET", "/hosts"):
            if self.outage:
                await _send_json(send, 503, {"error": "outage"})
                return
            await _send_json(send, 200, self.entries_at(time.monotonic()))
        elif request == ("POST", "/control"):
            await self._set_control(receive, send)
        else:
            await _send_json(
                send, 404, {"error": f"unknown path {scope['path']}"}
            )

    async def _set_control(
        self, receive: serving.Receive, send: serving.Send
    ) -> None:
        body = await serving.read_body(receive)
        try:
            control = msgspec.json.decode(body, type=Control)
        except msgspec.MsgspecError as error:
            await _send_json(send, 400, {"error": str(error)})
            return
        unknown = set(control.states) - set(self._entries_by_host)
        if unknown:
            await _send_json(
                send, 404, {"error": f"unknown host {min(unknown)}"}
            )
            return
        if control.outage is not None:
            self.outage = control.outage
        if control.lag_ms is not None:
            self.lag = control.lag_ms / 1000
        visible_at = time.monotonic() + self.lag
        for host, state in control.states.items():
            self._changes.append((visible_at, host, state))
        self._changes.sort(key=lambda change: change[0])
        await _send_json(send, 200, {"changes": len(self._changes)})


async def _send_json(send: serving.Send, status: int, value: object) -> None:
    await serving.send_response(
        send, status, msgspec.json.encode(value), b"application/json"
    )


@click.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, required=True, help="0 for a free port")
@click.option(
    "--hosts",
    type=click.Path(path_type=pathlib.Path, exists=True, dir_okay=False),
    required=True,
    help="YAML file with the hosts",
)
def main(host: str, port: int, hosts: pathlib.Path) -> None:
    """Serve the list of hosts and print its port."""
    serving.run(Membership.from_file(hosts), host, port)


if __name__ == "__main__":
    main()
