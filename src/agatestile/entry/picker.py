"""Chooses the server for a request, or says why none can take it."""

from __future__ import annotations

import random
import typing

from agatestile.assignment import ranges
from agatestile.balancing import choice
from agatestile.entry import refusals
from agatestile.results import codes

if typing.TYPE_CHECKING:
    from agatestile.balancing import load
    from agatestile.catalog import directory
    from agatestile.entry import fleet as fleet_module
    from agatestile.entry import view as view_module

WORK_SHARE = 0.6
"""Part of a server's mean time of work that has to fit into the time left
after the wait: shorter requests are as likely as longer ones."""

OWNER_RETRY_AFTER = 0.3
"""Pause for callers of keys without a usable owner, seconds: about the
time of a move."""

MOVE_SECONDS = 0.7
"""Age of a move from which its end is not near: the old owner does not
answer, and its keys are free only once its hold has ended."""

_CODES = codes.ResultCode


class Pick(typing.NamedTuple):
    """A server that takes a request.

    Attributes
    ----------
    server : directory.Server
        The server.
    load : load.ServerLoad
        What is known of its load.
    """

    server: directory.Server
    load: load.ServerLoad


class Moving(typing.NamedTuple):
    """The key changes hands, so that its owner is known shortly."""

    reason: str


class Picker:
    """Chooses servers.

    Parameters
    ----------
    fleet : fleet.Fleet
        Known servers.
    view : view.AssignmentView
        Owners of keys.
    generator : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        view: view_module.AssignmentView,
        generator: random.Random,
    ) -> None:
        self._fleet = fleet
        self._view = view
        self._generator = generator

    @property
    def assignment_version(self) -> str:
        """Epoch and version of the assignment that decides."""
        return f"{self._view.epoch}.{self._view.version}"

    def pick(
        self,
        service: str,
        key: int | None,
        now: float,
        time_left: float,
        tried: set[str],
        size: int = 0,
    ) -> Pick | Moving | refusals.Verdict:
        """Return a server for a request.

        Parameters
        ----------
        service : str
            Service that the request is for.
        key : int or None
            Its key if the service is divided by key.
        now : float
            The runtime's clock, seconds.
        time_left : float
            Time until the answer has to be there, seconds.
        tried : set of str
            Servers that were asked already.
        size : int
            Bytes of the request's body.
        """
        if key is None:
            return self._pick_any(service, now, time_left, tried, size)
        return self._pick_owner(service, key, now, time_left)

    def _pick_any(
        self,
        service: str,
        now: float,
        time_left: float,
        tried: set[str],
        size: int,
    ) -> Pick | refusals.Verdict:
        candidates = self._fleet.candidates(service, now, tried, size)
        chosen = choice.choose(candidates, now, self._generator)
        if chosen is None:
            return self._no_room(service, candidates, now)
        late = _is_late(chosen.load, now, time_left)
        if late is not None:
            return late
        return Pick(self._fleet.directory.by_id[chosen.id], chosen.load)

    def _no_room(
        self,
        service: str,
        candidates: list[choice.Candidate],
        now: float,
    ) -> refusals.Verdict:
        if not candidates:
            return refusals.Verdict(
                _CODES.NO_SERVER,
                f"no server of {service} may take requests",
                OWNER_RETRY_AFTER,
            )
        wait = min(one.load.expected_wait(now) for one in candidates)
        return refusals.Verdict(
            _CODES.OVERLOADED,
            f"all {len(candidates)} servers of {service} are full",
            0.5 * wait,
        )

    def _pick_owner(
        self, service: str, key: int, now: float, time_left: float
    ) -> Pick | Moving | refusals.Verdict:
        key_range = self._view.find(service, key)
        if key_range is None or key_range.owner == ranges.UNOWNED:
            return Moving(f"key {key} has no owner yet")
        if key_range.source != ranges.UNOWNED:
            age = now - self._view.moving_since(service, key_range)
            if age > MOVE_SECONDS:
                return refusals.Verdict(
                    _CODES.RANGE_MOVING,
                    f"key {key} is on its way for {age:.1f} s",
                    OWNER_RETRY_AFTER,
                )
            return Moving(f"key {key} is on its way")
        owner = key_range.owner
        server = self._fleet.directory.by_id.get(owner.server_id)
        if server is None or server.entry.incarnation != owner.incarnation:
            return Moving(f"owner {owner.server_id} of key {key} is gone")
        if not self._fleet.may_still_send(server, now):
            return Moving(f"owner {owner.server_id} of key {key} leaves")
        load = self._fleet.load_of(server.entry)
        if load.is_suspended(now) or load.is_silent(now):
            return refusals.Verdict(
                _CODES.NO_OWNER,
                f"owner {owner.server_id} of key {key} does not answer",
                OWNER_RETRY_AFTER,
            )
        if self._fleet.is_cold(server, now):
            if not self._fleet.allows_cold(server, now):
                return refusals.Verdict(
                    _CODES.OVERLOADED,
                    f"owner {owner.server_id} of key {key} is cold",
                    OWNER_RETRY_AFTER,
                )
        if load.occupancy(now) >= load.slots + choice.QUEUE_LIMIT:
            return refusals.Verdict(
                _CODES.OVERLOADED,
                f"owner {owner.server_id} of key {key} is full",
                0.5 * load.expected_wait(now),
            )
        return _is_late(load, now, time_left) or Pick(server, load)


def _is_late(
    load: load.ServerLoad, now: float, time_left: float
) -> refusals.Verdict | None:
    wait = load.expected_wait(now)
    if wait + WORK_SHARE * load.service_time <= time_left:
        return None
    return refusals.Verdict(
        _CODES.OVERLOADED,
        f"the wait of {wait:.3f} s exceeds the time left",
        wait - 0.5 * time_left,
    )
