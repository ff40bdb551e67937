"""Repeat the release of a claim until the log shows it."""

from __future__ import annotations

import msgspec

from baobabthread.core.claims.fold import ReleaseRecord
from baobabthread.core.claims.keys import ClaimKey
from baobabthread.core.messages import Append, Effects, LogRecord, Stream

_ENCODER = msgspec.json.Encoder()


class Releases:
    """Hold the releases that were not yet read back; repeating one is harmless."""

    __slots__ = ("_pending", "_retry_s")

    def __init__(self, *, retry_s: float) -> None:
        self._retry_s = retry_s
        self._pending: dict[str, tuple[float, Append]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def start(
        self, *, claim_id: str, key: ClaimKey, minted_s: int, wall_s: float, now: float
    ) -> Append:
        """Return the append that releases a claim."""
        record = ReleaseRecord(
            claim_id=claim_id,
            account=key.account,
            key=key.text,
            minted_s=minted_s,
            written_s=wall_s,
        )
        append = Append(
            stream=Stream.CLAIMS,
            id=name_release(claim_id),
            body=_ENCODER.encode(record),
        )
        self._pending[append.id] = (now, append)
        return append

    def is_pending(self, claim_id: str) -> bool:
        """Tell whether the release of a claim is on its way."""
        return name_release(claim_id) in self._pending

    def on_read(self, record: LogRecord) -> None:
        """Drop a release that the log shows."""
        self._pending.pop(record.id, None)

    def repeat(self, now: float) -> Effects:
        """Return the releases that are due for another try."""
        effects: Effects = []
        for id_, (sent_at, append) in self._pending.items():
            if sent_at + self._retry_s <= now:
                self._pending[id_] = (now, append)
                effects.append(append)
        return effects


def name_release(claim_id: str) -> str:
    """Return the record id of a claim's release, the same whoever appends it."""
    return f"{claim_id}:release"
