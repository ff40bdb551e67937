"""The newest start of each backend server that returns under its id."""

from __future__ import annotations

from baobabthread.routing.configuration import BackendRecord

MAX_STARTS = 20_000
"""Backend servers whose newest start is remembered, also after their record is gone:
twice those of the largest deployment that is planned and those replaced in a day."""


class NewestStarts:
    """Tell word of a server's newest start from that of one before."""

    __slots__ = ("_newest",)

    def __init__(self) -> None:
        self._newest: dict[str, int] = {}

    def record_start(self, record: BackendRecord) -> bool:
        """Return whether this is the newest start of the server that is known.

        A server that starts again under its id is still named by late records of its
        start before and by peers that are behind. Going back to those would send
        requests with the old address or version, and take it for leaving.
        """
        if record.started_ms < self._newest.get(record.id, 0):
            return False
        if record.started_ms:
            self._newest.pop(record.id, None)
            self._newest[record.id] = record.started_ms
            if len(self._newest) > MAX_STARTS:
                del self._newest[next(iter(self._newest))]
        return True
