"""Starts a daemon, and stops it without interrupting running requests."""

from __future__ import annotations

import logging
import signal
import typing

import anyio
import anyio.abc

from agatestile.daemon import factory
from agatestile.observability import logs

if typing.TYPE_CHECKING:
    from agatestile.settings import schema

LOG = logging.getLogger(__name__)

READINESS_NOTICE_SECONDS = 1.0
"""A stopping host accepts requests for at least this long after it reports
not ready, so that the balancer stops sending before requests are refused."""

HANDOVER_TIMEOUT_SECONDS = 5.0
"""Longest wait for other hosts to take over the gates of a stopping host."""

HANDOVER_POLL_SECONDS = 0.05


def run(settings: schema.Settings) -> None:
    """Run the daemon of this host until SIGTERM or SIGINT."""
    log_handler = logs.configure(settings.logging)
    anyio.run(
        _main,
        settings,
        log_handler,
        backend="asyncio",
        backend_options={"use_uvloop": True},
    )


async def _main(
    settings: schema.Settings, log_handler: logs.StderrHandler
) -> None:
    components = factory.build(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(log_handler.run)
        await _start(components, tasks)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            LOG.info(
                "daemon: %s of %s serves callers on %s",
                settings.host,
                settings.failure_domain,
                settings.listen.callers,
            )
            async for received in signals:
                LOG.info("daemon: stopping on %s", received.name)
                break
        await _stop(components)
        tasks.cancel_scope.cancel()
    LOG.info("daemon: stopped")


async def _start(
    components: factory.Components, tasks: anyio.abc.TaskGroup
) -> None:
    listen = components.settings.listen
    await components.membership.poll()
    tasks.start_soon(components.membership.run)
    tasks.start_soon(components.follower.run)
    await tasks.start(
        components.peers.serve, listen.peers.host, listen.peers.port
    )
    await tasks.start(components.gateway.run)
    for listener in components.listeners_by_name.values():
        tasks.start_soon(listener.run)
        await listener.wait_started()
    tasks.start_soon(components.ownership.run)
    tasks.start_soon(components.checkpointer.run)
    tasks.start_soon(components.metrics.run)
    tasks.start_soon(components.reporter.run)


async def _stop(components: factory.Components) -> None:
    """Hand over gates, refuse new requests, then await the running ones."""
    components.operations.mark_leaving()
    components.ownership.leave()
    await anyio.sleep(READINESS_NOTICE_SECONDS)
    with anyio.move_on_after(HANDOVER_TIMEOUT_SECONDS):
        while _holds_gates(components):
            await anyio.sleep(HANDOVER_POLL_SECONDS)
    components.gateway.begin_shutdown()
    await components.gateway.wait_until_drained()
    for listener in components.listeners_by_name.values():
        listener.stop()


def _holds_gates(components: factory.Components) -> bool:
    now = anyio.current_time()
    gates = components.ownership.gates
    return any(
        gates.held(name, now) for name in components.ownership.by_domain
    )
