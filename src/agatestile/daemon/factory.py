"""Builds the object graph of a daemon."""

from __future__ import annotations

import secrets
import typing

from agatestile.admin import application as admin_application
from agatestile.admin import operations as admin_operations
from agatestile.admin import peers as admin_peers
from agatestile.admin import reports as admin_reports
from agatestile.daemon import adapters
from agatestile.daemon import changes
from agatestile.daemon import handler as peer_handler
from agatestile.daemon import listeners
from agatestile.daemon import reporter as metrics_reporter
from agatestile.gateway import application as gateway_application
from agatestile.gateway import loads as gateway_loads
from agatestile.gateway import options as gateway_options
from agatestile.gateway import protocol
from agatestile.log import appender as log_appender
from agatestile.log import checkpoints
from agatestile.log import client as log_client
from agatestile.log import follower as log_follower
from agatestile.membership import client as membership_client
from agatestile.observability import invariants
from agatestile.observability import metrics
from agatestile.observability import request_metrics
from agatestile.ownership import driver
from agatestile.ownership import grant_client
from agatestile.ownership import ports
from agatestile.ownership import runner
from agatestile.ownership import terms
from agatestile.routing import router
from agatestile.routing import views as routing_views
from agatestile.rpc import server as rpc_server
from agatestile.state import checkpoint
from agatestile.state import cluster

if typing.TYPE_CHECKING:
    from agatestile.settings import schema

INSTANCE_SUFFIX_BYTES = 6
SNAPSHOT_TIMEOUT_SECONDS = 2.0


class Components(typing.NamedTuple):
    """Objects that a daemon starts and stops.

    Attributes
    ----------
    listeners_by_name : dict of str to listeners.Listener
        HTTP listeners: "callers", "forward" and "admin".
    """

    settings: schema.Settings
    state: cluster.ClusterState
    follower: log_follower.Follower
    checkpointer: checkpoints.Checkpointer
    membership: membership_client.MembershipClient
    ownership: runner.Runner
    gateway: gateway_application.Application
    operations: admin_operations.Operations
    metrics: metrics.Metrics
    reporter: metrics_reporter.Reporter
    peers: rpc_server.PeerServer
    listeners_by_name: dict[str, listeners.Listener]


def build(settings: schema.Settings) -> Components:
    """Build the components of one host's daemon."""
    checks = invariants.Invariants()
    state = cluster.ClusterState(checks)
    timing = terms.Timing(
        heartbeat_interval=settings.timing.heartbeat_interval,
        leader_lease=settings.timing.leader_lease,
        serve_lease=settings.timing.serve_lease,
    )
    members = membership_client.MembershipClient(
        str(settings.platform.membership)
    )
    log = log_client.LogClient(str(settings.platform.log))
    snapshots = adapters.PeerSnapshots(
        settings.host,
        settings.failure_domain,
        members,
        grant_client.PeerCalls(SNAPSHOT_TIMEOUT_SECONDS),
    )
    follower = log_follower.Follower(
        log, state, snapshots, settings.timing.log_wait
    )
    follower.subscribe(changes.log_change)
    appender = log_appender.Appender(log, follower)
    views = routing_views.RouteViews()
    loads = gateway_loads.GateLoads(state)
    ownership = runner.Runner(
        driver.LocalHost(
            settings.host,
            settings.failure_domain,
            f"{settings.host}#{secrets.token_hex(INSTANCE_SUFFIX_BYTES)}",
            str(settings.listen.forward),
        ),
        settings.failure_domains,
        state,
        ports.Ports(
            servers=grant_client.GrantClient(timing.call_timeout),
            peers=grant_client.PeerCalls(timing.call_timeout),
            appender=appender,
            membership=adapters.MembershipHosts(members),
            on_view=views.update,
            loads=loads,
            last_read=lambda: follower.last_read,
        ),
        timing,
        checks,
    )
    options = gateway_options.Options(*settings.requests)
    gateway = gateway_application.Application(
        settings.host,
        state,
        router.Router(state, views),
        ownership.gates,
        checks,
        options,
    )
    loads.attach(gateway.gates, ownership.gates)
    operations = admin_operations.Operations(
        settings,
        state,
        follower,
        appender,
        views,
        admin_peers.PeerStatuses(settings.host, members),
        {
            "ownership": ownership.status,
            "limits": lambda: admin_reports.limits(gateway.gates.by_server),
            "running": lambda: gateway.requests_in_progress,
        },
    )
    metrics_sink = metrics.from_settings(settings.metrics)
    return Components(
        settings=settings,
        state=state,
        follower=follower,
        checkpointer=checkpoints.Checkpointer(
            log,
            state,
            checkpoint.Policy(settings.timing.log_retention),
            _domain_rank_reader(ownership),
        ),
        membership=members,
        ownership=ownership,
        gateway=gateway,
        operations=operations,
        metrics=metrics_sink,
        reporter=metrics_reporter.Reporter(
            metrics_sink, state, follower, ownership, gateway
        ),
        peers=rpc_server.PeerServer(
            peer_handler.Handler(state, ownership, operations)
        ),
        listeners_by_name={
            "callers": listeners.Listener(
                "callers",
                request_metrics.wrap_application(
                    gateway.serve_callers, metrics_sink, "entry"
                ),
                str(settings.listen.callers),
                protocol.with_options(options),
            ),
            "forward": listeners.Listener(
                "forward",
                request_metrics.wrap_application(
                    gateway.serve_forwarded, metrics_sink, "gate"
                ),
                str(settings.listen.forward),
                protocol.with_options(options),
            ),
            "admin": listeners.Listener(
                "admin",
                admin_application.Application(operations),
                str(settings.listen.admin),
            ),
        },
    )


def _domain_rank_reader(
    ownership: runner.Runner,
) -> typing.Callable[[], int | None]:
    def rank() -> int | None:
        domains = sorted(ownership.by_domain)
        for index, domain in enumerate(domains):
            if ownership.by_domain[domain].leadership is not None:
                return index
        return None

    return rank
