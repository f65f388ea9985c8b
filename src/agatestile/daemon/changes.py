"""Logs each operator's change once it is in force on this host."""

from __future__ import annotations

import functools
import logging
import typing

from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.state import cluster

LOG = logging.getLogger(__name__)


def log_change(applied: cluster.Applied | None) -> None:
    """Log an applied record; None if the whole state was replaced."""
    if applied is not None:
        _log_record(applied.record, applied.offset)


@functools.singledispatch
def _log_record(record: records.Record, offset: int) -> None:
    """Ignore records of leaders, which log their own decisions."""


@_log_record.register
def _log_table_change(record: records.TableChange, offset: int) -> None:
    LOG.info(
        "table: version %d by %s with %d rows in force",
        offset,
        record.operator,
        len(record.rows),
    )


@_log_record.register
def _log_domain_change(record: records.DomainChange, offset: int) -> None:
    LOG.info(
        "table: domain %s %s by %s at offset %d in force",
        record.domain,
        record.state,
        record.operator,
        offset,
    )


@_log_record.register
def _log_host_change(record: records.HostChange, offset: int) -> None:
    LOG.info(
        "table: host %s %s by %s at offset %d in force",
        record.host,
        record.state,
        record.operator,
        offset,
    )
