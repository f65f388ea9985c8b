"""Scripted store, and the service of a host for others."""

from __future__ import annotations

import typing

import trio

from agatestile.entry import fleet as fleet_module
from agatestile.entry import view as view_module
from agatestile.node import leadership
from agatestile.node import operator_watcher
from agatestile.node import peers
from agatestile.node import quota_exchange
from agatestile.node import reporter as reporter_module
from agatestile.node import settings as node_settings
from agatestile.platform import records
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port
from tests.assignment import support as coordinator_support

HISTORY_GONE = outcomes.Refusal(codes.ResultCode.LOG_HISTORY_GONE, "compacted")
UNAVAILABLE = outcomes.Refusal(codes.ResultCode.LOG_UNAVAILABLE, "down")


class ScriptedStore:
    """Returns the results given by the test, one per call.

    Attributes
    ----------
    during_read : callable
        Called during each read, for what happens meanwhile.
    """

    def __init__(self, *results: port.Page | outcomes.Refusal) -> None:
        self.results = list(results)
        self.calls: list[str] = []
        self.during_read: typing.Callable[[], None] = lambda: None

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        self.during_read()
        self.calls.append("newest")
        return self.results.pop(0)

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        limit: int = 0,
        on_data: typing.Callable[[], None] | None = None,
    ) -> port.Page | outcomes.Refusal:
        self.during_read()
        self.calls.append(f"read {start}")
        return self.results.pop(0)


def operator_relay() -> operator_watcher.OperatorWatcher:
    """Return a watcher without a store, which only relays."""
    return operator_watcher.OperatorWatcher(
        None,  # type: ignore[arg-type]
        records.PlatformRecordFormat(),
        trio.current_time,
        lambda configuration: None,
        lambda domains, since: None,
    )


def peer_service(
    harness: coordinator_support.CoordinatorHarness,
    quotas: quota_exchange.QuotaExchange | None = None,
) -> peers.PeerService:
    """Return the service of a host with an empty directory."""
    fleet = fleet_module.Fleet(
        node_settings.Bounds(), "anna", trio.current_time
    )
    elector = leadership.LeaderElector(
        harness.store, harness.coordinator, "host-1", trio.current_time
    )
    reporter = reporter_module.Reporter(
        None,  # type: ignore[arg-type]
        harness.store,
        fleet,
        view_module.AssignmentView(),
        "host-1",
        (),
        elector,
        operator_relay(),
        trio.current_time,
    )
    return peers.PeerService(
        harness.coordinator,
        fleet,
        reporter,
        elector.is_confirmed,
        operator_relay(),
        trio.current_time,
        quotas,
    )
