"""Log lines for backend servers that this instance stops using on a peer's word."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from baobabthread.logs import log_event
from baobabthread.routing.replica import StateReplica


@contextlib.contextmanager
def log_backend_changes(replica: StateReplica, source: str) -> Iterator[None]:
    """Log which servers are gone or leave once the peer `source` has told."""
    before = dict(replica.backends)
    yield
    for id, record in before.items():
        current = replica.backends.get(id)
        if current is None:
            log_event("backend_gone", backend=id, removed=True, source=source)
        elif current.leaving and not record.leaving:
            log_event("backend_leaving", backend=current.incarnation, source=source)
