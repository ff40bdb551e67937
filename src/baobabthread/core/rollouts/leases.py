"""Keep one conductor per service by a lease in the log, safe under pauses."""

from __future__ import annotations

import math
import random

import msgspec

from baobabthread.core.messages import Append, AppendFailed, Effects, LogRead, Stream
from baobabthread.core.rollouts.leasefold import (
    LeaseClaim,
    LeaseFold,
    LeaseRelease,
    LeaseRenewal,
)

_ENCODER = msgspec.json.Encoder()


class LeaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set the times of a lease, in seconds."""

    lease_s: float = 10.0
    renew_s: float = 3.0
    longest_order_s: float = 5.0
    """The longest time-out of an order to an engine."""
    margin_s: float = 2.0
    """Covers the drift of monotonic clocks and an order that an engine queues."""
    retry_s: float = 2.0
    """How long a claim or renewal waits for its read-back before the next."""
    spread_s: float = 1.0
    """Candidates wait up to this long more, so that few claim at once."""


class Lease:
    """Claim, renew and give up the lease of one service for one holder."""

    __slots__ = (
        "_asked_at",
        "_asked_id",
        "_claim_after",
        "_deadline",
        "_fold",
        "_holder",
        "_leaving",
        "_random",
        "_renewed_at",
        "_sequence",
        "_settings",
    )

    def __init__(
        self,
        *,
        holder: str,
        service: str,
        settings: LeaseSettings | None = None,
        random_source: random.Random,
    ) -> None:
        """Take the holder's incarnation; a restarted holder is another one."""
        self._holder = holder
        self._settings = settings or LeaseSettings()
        self._random = random_source
        self._fold = LeaseFold(service=service)
        self._sequence = 0
        self._asked_id = ""
        self._asked_at = -math.inf
        self._renewed_at = -math.inf
        self._deadline = -math.inf
        self._claim_after = math.inf
        self._leaving = False

    @property
    def fence(self) -> int:
        """Give the fencing number of the valid claim, whoever holds it."""
        return self._fold.fence

    @property
    def holder(self) -> str:
        """Give the incarnation that holds the lease, empty if none does."""
        return "" if self._fold.released else self._fold.holder

    def is_held(self, now: float) -> bool:
        """Tell whether this holder may act now."""
        return self._is_mine() and now < self._deadline

    def may_order(self, now: float, order_timeout_s: float) -> bool:
        """Tell whether an order may start that ends within its time-out."""
        # A holder that was paused wakes past its deadline and would give an order
        # beside its successor's. Its own clock runs on in the pause, so this check
        # right before the order is enough; the successor waits out the order.
        return (
            self._is_mine()
            and order_timeout_s <= self._settings.longest_order_s
            and now + order_timeout_s <= self._deadline
        )

    def tick(self, now: float) -> Effects:
        """Claim a lapsed lease or renew a held one when it is time."""
        waiting = self._asked_id and now < self._asked_at + self._settings.retry_s
        if self._leaving or waiting:
            return []
        if self._is_mine():
            if now < self._renewed_at + self._settings.renew_s:
                return []
            return [self._ask(self._make_renewal(), now)]
        if now < self._claim_after:
            return []
        return [self._ask(self._make_claim(), now)]

    def on_log_read(self, read: LogRead, now: float) -> Effects:
        """Take records of the stream of roll-outs, in order."""
        if read.stream is not Stream.ROLLOUTS:
            return []
        self._fold.start_read(read)
        changed = False
        for record in read.records:
            if self._fold.apply(record):
                changed = True
                self._take_own(record.id)
        if changed or self._claim_after == math.inf:
            self._set_claim_time(now)
        return []

    def on_append_failed(self, failed: AppendFailed, now: float) -> Effects:
        """Wait for the read-back; a record that is not there is asked for again."""
        del failed, now
        return []

    def release(self, now: float) -> Effects:
        """Give the lease up for good; call it with no order under way."""
        self._leaving = True
        if not self._is_mine():
            return []
        self._deadline = -math.inf
        record = LeaseRelease(service=self._fold.service, fence=self._fold.fence)
        return [self._ask(record, now)]

    def _is_mine(self) -> bool:
        return self._fold.holder == self._holder and not self._fold.released

    def _make_renewal(self) -> LeaseRenewal:
        return LeaseRenewal(
            service=self._fold.service, holder=self._holder, fence=self._fold.fence
        )

    def _make_claim(self) -> LeaseClaim:
        return LeaseClaim(
            service=self._fold.service,
            holder=self._holder,
            after=self._fold.last_offset,
            first=self._fold.first,
        )

    def _ask(
        self, record: LeaseClaim | LeaseRenewal | LeaseRelease, now: float
    ) -> Append:
        self._sequence += 1
        self._asked_id = f"{self._holder}:{self._fold.service}:{self._sequence}"
        self._asked_at = now
        return Append(
            stream=Stream.ROLLOUTS, id=self._asked_id, body=_ENCODER.encode(record)
        )

    def _take_own(self, record_id: str) -> None:
        if record_id != self._asked_id or self._leaving:
            return
        self._asked_id = ""
        # Counted from before the append was sent: the record can't be older than
        # that, so a successor that counts from its read always ends later, however
        # slow the log or the reply was. An older record of ours adds nothing.
        self._renewed_at = self._asked_at
        self._deadline = self._asked_at + self._settings.lease_s

    def _set_claim_time(self, now: float) -> None:
        """Count the wait of a successor from its read of the last valid record."""
        settings = self._settings
        wait_s = self._random.uniform(0.0, settings.spread_s)
        if self._fold.last_offset and not self._fold.released:
            wait_s += settings.lease_s + settings.longest_order_s + settings.margin_s
        self._claim_after = now + wait_s
