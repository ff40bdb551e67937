"""Fold the lease records of one service: who conducts it, by which number."""

from __future__ import annotations

import msgspec

from baobabthread.core.messages import LogRead, LogRecord


class LeaseClaim(msgspec.Struct, frozen=True, kw_only=True, tag="lease_claim"):
    """Claim the lease of a service that the claimant saw lapse."""

    service: str
    holder: str
    after: int
    """Offset of the last valid lease record that the claimant had read; 0 for none."""
    first: int
    """Lowest offset of the stream that the claimant has read."""


class LeaseRenewal(msgspec.Struct, frozen=True, kw_only=True, tag="lease_renewal"):
    """Prolong the lease whose claim has this offset."""

    service: str
    holder: str
    fence: int


class LeaseRelease(msgspec.Struct, frozen=True, kw_only=True, tag="lease_release"):
    """Give the lease up; its holder has no order under way."""

    service: str
    fence: int


_DECODER = msgspec.json.Decoder(LeaseClaim | LeaseRenewal | LeaseRelease)


class LeaseFold:
    """Keep the valid claim of one service; every reader computes the same."""

    __slots__ = (
        "_next",
        "_unsure",
        "fence",
        "first",
        "holder",
        "last_offset",
        "released",
        "service",
    )

    def __init__(self, *, service: str) -> None:
        self.service = service
        self.fence = 0
        """Offset of the valid claim; the fencing number of its holder."""
        self.holder = ""
        self.last_offset = 0
        """Offset of the last valid record."""
        self.released = False
        self.first = 1
        """Lowest offset from which on this fold has read all records."""
        self._next = 1
        self._unsure = False

    def start_read(self, read: LogRead) -> None:
        """Note what the log lost before this read."""
        if read.first > self._next:
            self.first = read.first
            self._unsure = True
        self._next = max(self._next, read.head + 1)

    def apply(self, record: LogRecord) -> bool:
        """Apply one record in log order; tell whether it is valid."""
        try:
            body = _DECODER.decode(record.body)
        except msgspec.DecodeError:
            return False
        if body.service != self.service:
            return False
        if isinstance(body, LeaseClaim):
            return self._claim(record, body)
        if isinstance(body, LeaseRenewal):
            return self._renew(record, body)
        return self._release(record, body)

    def _claim(self, record: LogRecord, body: LeaseClaim) -> bool:
        # Two claimants that both saw the lease lapse race here. Only the claim that
        # names the last valid record counts, so a renewal or another claim that
        # reached the log first makes a later claim void for every reader.
        if body.after != self.last_offset and not self._is_past(body):
            return False
        self.fence = record.offset
        self.holder = body.holder
        self.released = False
        self._unsure = False
        self._note(record)
        return True

    def _is_past(self, body: LeaseClaim) -> bool:
        """Tell whether the records that would decide are lost to retention."""
        # A reader that started after the log dropped records can't name the last
        # valid one. Retention is far longer than a lease, so whatever is older than
        # the claimant's first record has lapsed.
        return self.last_offset < body.first or (
            self._unsure and body.after < self.first
        )

    def _renew(self, record: LogRecord, body: LeaseRenewal) -> bool:
        # A greater fence than ours comes from a holder that read records which the
        # log dropped before we did; a smaller one from a holder that lost its lease.
        if body.fence < self.fence or (body.fence == self.fence and self.released):
            return False
        self.fence = body.fence
        self.holder = body.holder
        self.released = False
        self._note(record)
        return True

    def _release(self, record: LogRecord, body: LeaseRelease) -> bool:
        if body.fence != self.fence or self.released:
            return False
        self.released = True
        self._note(record)
        return True

    def _note(self, record: LogRecord) -> None:
        self.last_offset = record.offset
