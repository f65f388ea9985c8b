"""Selection of a server for a request, or the reason why none accepts it."""

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

SERVICE_TIME_SHARE = 0.6
"""Share of a server's mean service time that has to fit into the time left
after the wait: shorter requests are as likely as longer ones."""

OWNER_RETRY_AFTER = 0.3
"""Retry-after time for keys without a usable owner, seconds: about the
duration of a move."""

HOT_KEY_RETRY_AFTER = 1.0
"""Retry-after time for requests for a hot key that are not admitted, seconds:
a key stays hot for a few seconds."""

STALLED_MOVE_SECONDS = 0.7
"""Age from which a move counts as stalled: the old owner does not respond,
and its keys can be assigned only after its hold has ended."""

_CODES = codes.ResultCode


class Pick(typing.NamedTuple):
    """A server that was selected for a request.

    Attributes
    ----------
    server : directory.Server
        The server.
    load : load.ServerLoad
        Load of the server, as this host estimates it.
    """

    server: directory.Server
    load: load.ServerLoad


class OwnerPending(typing.NamedTuple):
    """The key has no usable owner now and is expected to have one soon.

    Attributes
    ----------
    reason : str
        One sentence for the log.
    """

    reason: str


class Picker:
    """Selects servers for requests.

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
        """Epoch and version of the assignment in use, for the log."""
        return f"{self._view.epoch}.{self._view.version}"

    def pick(
        self,
        service: str,
        key: int | None,
        now: float,
        time_left: float,
        tried_ids: set[str],
        body_size: int = 0,
    ) -> Pick | OwnerPending | refusals.RequestRefusal:
        """Return a server for a request.

        Parameters
        ----------
        service : str
            Service that the request is for.
        key : int or None
            Key of the request, for services divided by key.
        now : float
            Clock of the event loop, seconds.
        time_left : float
            Time until the response is due, seconds.
        tried_ids : set of str
            Servers that the request was sent to before.
        body_size : int
            Bytes of the request's body.
        """
        if key is None:
            return self._pick_any(
                service, now, time_left, tried_ids, body_size
            )
        return self._pick_owner(service, key, now, time_left)

    def _pick_any(
        self,
        service: str,
        now: float,
        time_left: float,
        tried_ids: set[str],
        body_size: int,
    ) -> Pick | refusals.RequestRefusal:
        candidates = self._fleet.sufficient_candidates(
            service, now, time_left, tried_ids, body_size
        )
        chosen = choice.choose(candidates, now, self._generator)
        if chosen is None:
            return self._refusal_without_server(service, candidates, now)
        refusal = _refusal_if_late(chosen.load, now, time_left)
        if refusal is not None:
            return refusal
        return Pick(self._fleet.directory.by_id[chosen.id], chosen.load)

    def _refusal_without_server(
        self,
        service: str,
        candidates: list[choice.Candidate],
        now: float,
    ) -> refusals.RequestRefusal:
        if not candidates:
            return refusals.RequestRefusal(
                _CODES.NO_SERVER,
                f"no server of {service} accepts requests",
                OWNER_RETRY_AFTER,
            )
        wait = min(
            max(0.5 * one.load.expected_wait(now), one.load.pause_left(now))
            for one in candidates
        )
        return refusals.RequestRefusal(
            _CODES.OVERLOADED,
            f"all {len(candidates)} servers of {service} are full or paused",
            wait,
        )

    def _pick_owner(
        self, service: str, key: int, now: float, time_left: float
    ) -> Pick | OwnerPending | refusals.RequestRefusal:
        key_range = self._view.find(service, key)
        if key_range is None or key_range.owner == ranges.UNOWNED:
            return OwnerPending(f"key {key} has no owner yet")
        if key_range.source != ranges.UNOWNED:
            age = now - self._view.moving_since(service, key_range)
            if age > STALLED_MOVE_SECONDS:
                return refusals.RequestRefusal(
                    _CODES.RANGE_MOVING,
                    f"key {key} has been moving for {age:.1f} s",
                    OWNER_RETRY_AFTER,
                )
            return OwnerPending(f"key {key} is moving")
        share = self._view.admitted_share(service, key, now)
        if self._generator.random() >= share:
            return refusals.RequestRefusal(
                _CODES.OVERLOADED,
                f"key {key} is hot, {share:.0%} of its requests are admitted",
                HOT_KEY_RETRY_AFTER,
            )
        owner = key_range.owner
        server = self._fleet.directory.by_id.get(owner.server_id)
        if server is None or server.entry.incarnation != owner.incarnation:
            return OwnerPending(
                f"owner {owner.server_id} of key {key} is unknown or restarted"
            )
        if not self._fleet.may_still_receive(server, now):
            return OwnerPending(
                f"owner {owner.server_id} of key {key} is leaving"
            )
        load = self._fleet.load_of(server.entry)
        if load.is_suspended(now) or load.is_unresponsive(now):
            return refusals.RequestRefusal(
                _CODES.NO_OWNER,
                f"owner {owner.server_id} of key {key} does not respond",
                OWNER_RETRY_AFTER,
            )
        pause_left = load.pause_left(now)
        if pause_left:
            return refusals.RequestRefusal(
                _CODES.OVERLOADED,
                f"owner {owner.server_id} of key {key} wants no requests for"
                f" {pause_left:.1f} s",
                pause_left,
            )
        limit_wait = self._fleet.rate_limit_wait(server, now)
        if limit_wait:
            return refusals.RequestRefusal(
                _CODES.OVERLOADED,
                f"owner {owner.server_id} of key {key} takes"
                f" {server.rate_limit} requests per second, of which this host"
                " has sent its share",
                limit_wait,
            )
        if self._fleet.is_cold(server, now):
            if not self._fleet.has_cold_quota(server, now):
                return refusals.RequestRefusal(
                    _CODES.OVERLOADED,
                    f"owner {owner.server_id} of key {key} is cold",
                    OWNER_RETRY_AFTER,
                )
        if load.occupancy(now) >= load.slots + choice.QUEUE_LIMIT:
            return refusals.RequestRefusal(
                _CODES.OVERLOADED,
                f"owner {owner.server_id} of key {key} is full",
                0.5 * load.expected_wait(now),
            )
        return _refusal_if_late(load, now, time_left) or Pick(server, load)


def _refusal_if_late(
    load: load.ServerLoad, now: float, time_left: float
) -> refusals.RequestRefusal | None:
    wait = load.expected_wait(now)
    if wait + SERVICE_TIME_SHARE * load.service_time <= time_left:
        return None
    return refusals.RequestRefusal(
        _CODES.OVERLOADED,
        f"expected wait of {wait:.3f} s exceeds the time left",
        wait - 0.5 * time_left,
    )
