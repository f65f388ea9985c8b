"""Life of a daemon: start, serve, stop without cutting requests."""

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

NOTICE_SECONDS = 1.0
"""A stopping host goes on taking requests for this long after it stops
being ready, so that the balancer sends no more before they are refused."""

HANDOVER_SECONDS = 5.0
"""Longest wait for other hosts to take over the gates of a stopping one."""

POLL_SECONDS = 0.05


def run(settings: schema.Settings) -> None:
    """Run the daemon of a host until SIGTERM or SIGINT."""
    log_lines = logs.configure(settings.logging)
    anyio.run(
        _main,
        settings,
        log_lines,
        backend="asyncio",
        backend_options={"use_uvloop": True},
    )


async def _main(
    settings: schema.Settings, log_lines: logs.StderrHandler
) -> None:
    parts = factory.build(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(log_lines.run)
        await _start(parts, tasks)
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
                LOG.info("daemon: stops after %s", received.name)
                break
        await _stop(parts)
        tasks.cancel_scope.cancel()
    LOG.info("daemon: stopped")


async def _start(parts: factory.Parts, tasks: anyio.abc.TaskGroup) -> None:
    listen = parts.settings.listen
    await parts.membership.poll()
    tasks.start_soon(parts.membership.run)
    tasks.start_soon(parts.follower.run)
    await tasks.start(parts.peers.serve, listen.peers.host, listen.peers.port)
    await tasks.start(parts.gateway.run)
    for listener in parts.listeners_by_name.values():
        tasks.start_soon(listener.run)
        await listener.wait_started()
    tasks.start_soon(parts.ownership.run)
    tasks.start_soon(parts.checkpointer.run)
    tasks.start_soon(parts.metrics.run)
    tasks.start_soon(parts.reporter.run)


async def _stop(parts: factory.Parts) -> None:
    """Hand over gates, refuse new requests, wait for the running ones."""
    parts.operations.mark_leaving()
    parts.ownership.leave()
    await anyio.sleep(NOTICE_SECONDS)
    with anyio.move_on_after(HANDOVER_SECONDS):
        while _holds_gates(parts):
            await anyio.sleep(POLL_SECONDS)
    parts.gateway.begin_shutdown()
    await parts.gateway.wait_until_drained()
    for listener in parts.listeners_by_name.values():
        listener.stop()


def _holds_gates(parts: factory.Parts) -> bool:
    now = anyio.current_time()
    gates = parts.ownership.gates
    return any(gates.held(name, now) for name in parts.ownership.by_domain)
