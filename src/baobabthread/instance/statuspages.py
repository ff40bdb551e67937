"""Statuses of roll-outs as the store lists them."""

from __future__ import annotations

from collections.abc import Iterator

from baobabthread.errors import ConfigurationError
from baobabthread.instance.store import Page, RecordFormat
from baobabthread.logs import log_event
from baobabthread.routing.configuration import RolloutStatus


def list_statuses(page: Page, formats: RecordFormat) -> Iterator[RolloutStatus]:
    """Yield the statuses of a page, and log the records that can't be read."""
    for record in page.records:
        try:
            status = formats.decode_status(record)
        except ConfigurationError as error:
            log_event("status_unreadable", key=record.key, error=str(error))
            continue
        if status is not None:
            yield status
