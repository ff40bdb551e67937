"""Latest start of each backend server, to recognize outdated records."""

from __future__ import annotations

from baobabthread.routing.configuration import BackendRecord

MAX_STARTS = 20_000
"""Number of backend servers whose latest start is kept, also after their record is
removed: twice the servers of the largest planned deployment and those replaced within
a day."""


class NewestStarts:
    """Distinguishes records of a server's latest start from those of earlier ones."""

    __slots__ = ("_newest", "_removed")

    def __init__(self) -> None:
        self._newest: dict[str, int] = {}
        self._removed: dict[str, None] = {}

    def record_start(self, record: BackendRecord) -> bool:
        """Record a start; return whether it is the latest known one of the server.

        After a restart under the same id, late records and peers that lag behind still
        name the previous start. Reverting to it would send requests with the old
        address or version and treat the server as leaving.
        """
        if record.started_ms < self._newest.get(record.id, 0):
            return False
        self._removed.pop(record.incarnation, None)
        if record.started_ms:
            self._newest.pop(record.id, None)
            self._newest[record.id] = record.started_ms
            if len(self._newest) > MAX_STARTS:
                del self._newest[next(iter(self._newest))]
        return True

    def record_removal(self, record: BackendRecord) -> None:
        """Record that the record of a server's start was removed."""
        self._removed.pop(record.incarnation, None)
        self._removed[record.incarnation] = None
        if len(self._removed) > MAX_STARTS:
            del self._removed[next(iter(self._removed))]

    def was_removed(self, record: BackendRecord) -> bool:
        """Return whether the record of this start was removed and not written since."""
        return record.incarnation in self._removed
