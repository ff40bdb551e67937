"""Give bills to a peer for good, and take them from one that stops."""

from __future__ import annotations

from collections.abc import Iterable

from baobabthread.core.billing.links import Bill, Links
from baobabthread.core.billing.types import BillsTaken, HandOverBills
from baobabthread.core.messages import Effects, Send


class Taking:
    """Count the bills of one hand-over that have no second holder yet."""

    __slots__ = ("batch", "left", "sender")

    def __init__(self, *, sender: str, batch: int, left: int) -> None:
        self.sender = sender
        self.batch = batch
        self.left = left

    def note_safe(self) -> Effects:
        """Count one bill; acknowledge the hand-over after the last."""
        # The giver ends on the acknowledgement. Sent before the bills have a second
        # holder, the taker's death would lose them, with nobody left to settle.
        self.left -= 1
        if self.left:
            return []
        return [Send(to=self.sender, message=BillsTaken(batch=self.batch))]


class _Gift:
    __slots__ = ("bills", "message", "sent_at", "to")

    def __init__(
        self, *, bills: list[Bill], message: HandOverBills, to: str, now: float
    ) -> None:
        self.bills = bills
        self.message = message
        self.to = to
        self.sent_at = now


class Gifts:
    """Hold what was given and not yet acknowledged."""

    __slots__ = ("_batch", "_gifts", "_links", "_me", "_size", "_timeout_s")

    def __init__(self, *, me: str, links: Links, size: int, timeout_s: float) -> None:
        self._me = me
        self._links = links
        self._size = size
        self._timeout_s = timeout_s
        self._batch = 0
        self._gifts: dict[int, _Gift] = {}

    def give(self, bills: Iterable[Bill], now: float) -> Effects:
        """Give the closed bills; what still runs stays until it is closed."""
        ready = [bill for bill in bills if bill.record and not bill.is_given]
        effects: Effects = []
        for start in range(0, len(ready), self._size):
            effects += self._give(ready[start : start + self._size], now)
        return effects

    def retry(self, batch: int, now: float) -> Effects:
        """Give a batch to another peer if it is not yet acknowledged."""
        gift = self._gifts.pop(batch, None)
        if gift is None:
            return []
        left = [bill for bill in gift.bills if not bill.is_settled]
        return self._give(left, now, besides=gift.to)

    def retry_late(self, now: float) -> Effects:
        """Give batches of which nothing was heard to another peer."""
        late = [
            batch
            for batch, gift in self._gifts.items()
            if now - gift.sent_at > self._timeout_s
        ]
        effects: Effects = []
        for batch in late:
            effects += self.retry(batch, now)
        return effects

    def take_acknowledged(self, batch: int) -> list[Bill]:
        """Return the bills that a peer now holds for good."""
        gift = self._gifts.pop(batch, None)
        return gift.bills if gift is not None else []

    def _give(
        self, bills: list[Bill], now: float, besides: str | None = None
    ) -> Effects:
        link = self._links.choose(now, besides=besides) or self._links.choose(now)
        for bill in bills:
            bill.is_given = link is not None
        if link is None or not bills:
            return []
        self._batch += 1
        records = [bill.record for bill in bills if bill.record is not None]
        message = HandOverBills(owner=self._me, batch=self._batch, bills=records)
        self._gifts[self._batch] = _Gift(
            bills=bills, message=message, to=link.name, now=now
        )
        return [Send(to=link.name, message=message)]
