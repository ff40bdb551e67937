"""Batch the copies of bills to each peer, one batch in flight at a time."""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from typing import Protocol

from baobabthread.core.billing.types import BillRecord, CopyBills, OpenBill, Peer
from baobabthread.core.messages import Effects


class SafetyCount(Protocol):
    """Count bills that have a second holder."""

    def note_safe(self) -> Effects:
        """Count one bill."""
        ...


class Bill:
    """Hold one unsettled bill at its owner."""

    __slots__ = (
        "asked",
        "bill_id",
        "is_copied",
        "is_given",
        "is_settled",
        "opened",
        "peer",
        "record",
        "request_id",
        "taking",
        "waiting",
    )

    def __init__(self, *, opened: OpenBill, waiting: bool) -> None:
        self.request_id = opened.request_id
        self.bill_id = opened.bill_id
        self.opened = opened
        self.record: BillRecord | None = None
        self.waiting = waiting
        """The request is held back until a peer has the copy."""
        self.is_copied = False
        """Its peer has acknowledged the copy."""
        self.is_given = False
        """It was handed to a peer for good; the acknowledgement may be missing."""
        self.is_settled = False
        """The log has it, or the request did not run: nothing is left to do."""
        self.peer: str | None = None
        self.taking: SafetyCount | None = None
        """Counts the bill when it has a second holder, if a giver waits for that."""
        self.asked = 0
        """How many peers were asked to hold the copy."""

    def note_safe(self) -> Effects:
        """Note that a peer or the log holds the bill besides this entry."""
        self.is_copied = True
        taking, self.taking = self.taking, None
        return taking.note_safe() if taking is not None else []


class Link:
    """Collect what goes to one peer."""

    __slots__ = (
        "_resetting",
        "avoid_until",
        "batch",
        "closes",
        "drops",
        "in_flight",
        "name",
        "needs_reset",
        "opens",
        "sent_at",
        "since",
    )

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.opens: list[Bill] = []
        self.closes: list[Bill] = []
        self.drops: list[str] = []
        self.batch = 0
        """Number of the batch in flight; 0 for none."""
        self.in_flight: tuple[list[Bill], list[Bill], list[str]] = ([], [], [])
        self.sent_at = 0.0
        self.since = math.inf
        """When the oldest waiting close or drop was added."""
        self.avoid_until = -math.inf
        # The peer may hold copies from before it was lost sight of, whose drops
        # went with the old link. They would stay, and be settled long after.
        self.needs_reset = True
        self._resetting = False

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits to be sent or acknowledged."""
        return not (self.batch or self.opens or self.drops)

    def is_due(self, now: float, linger_s: float) -> bool:
        """Tell whether something waits that should be sent now."""
        if self.batch:
            return False
        if self.opens:
            return True
        return self.since + linger_s <= now and self.avoid_until <= now

    def is_reset_due(self, now: float) -> bool:
        """Tell whether the peer should be told which copies to keep."""
        return self.needs_reset and not self.batch and self.avoid_until <= now

    def make_batch(
        self, *, owner: str, batch: int, now: float, keep: list[str] | None = None
    ) -> CopyBills:
        """Move all that waits into one message."""
        # What was settled meanwhile is only dropped; sent after its drop it would
        # stay at the peer for good.
        added = [bill for bill in self.opens if not bill.is_settled]
        opens = [bill for bill in added if bill.record is None]
        closes = [bill for bill in added if bill.record is not None]
        closes += [
            bill
            for bill in self.closes
            if not bill.is_settled and bill.peer == self.name
        ]
        self.in_flight = (opens, closes, self.drops)
        message = CopyBills(
            owner=owner,
            batch=batch,
            opens=[bill.opened for bill in opens],
            closes=[bill.record for bill in closes if bill.record is not None],
            drops=self.drops,
            keep=keep,
        )
        self._resetting = keep is not None
        self.needs_reset = self.needs_reset and keep is None
        self.opens, self.closes, self.drops = [], [], []
        self.batch = batch
        self.sent_at = now
        self.since = math.inf
        return message

    def fail(self, now: float, avoid_s: float) -> list[Bill]:
        """End the batch in flight and return the bills that another peer must copy."""
        self.avoid_until = now + avoid_s
        self.needs_reset = self.needs_reset or self._resetting
        opens, closes, drops = self.take_in_flight()
        opens += self.opens
        self.opens = []
        self.closes += closes
        self.drops += drops
        # A copy that arrived although its reply was lost must not stay for good.
        self.drops += [bill.request_id for bill in opens]
        self.since = now
        return opens

    def take_in_flight(self) -> tuple[list[Bill], list[Bill], list[str]]:
        """End the batch in flight and return what it held."""
        taken, self.in_flight = self.in_flight, ([], [], [])
        self.batch = 0
        self._resetting = False
        return taken


class Links:
    """Choose which peer holds the copies."""

    __slots__ = ("_domain", "_links", "_me", "_order")

    def __init__(self, *, me: str, failure_domain: str) -> None:
        self._me = me
        self._domain = failure_domain
        self._links: dict[str, Link] = {}
        self._order: list[Link] = []

    def __len__(self) -> int:
        return len(self._links)

    def set_peers(self, peers: Sequence[Peer]) -> list[Link]:
        """Take the live peers; return the links to those that are no longer."""
        names = {peer.name for peer in peers}
        removed = [link for name, link in self._links.items() if name not in names]
        for link in removed:
            del self._links[link.name]
        for peer in peers:
            if peer.name not in self._links:
                self._links[peer.name] = Link(name=peer.name)
        ranked = sorted(peers, key=self._rank)
        self._order = [self._links[peer.name] for peer in ranked]
        return removed

    def get(self, name: str | None) -> Link | None:
        """Return the link to a peer."""
        return self._links.get(name) if name is not None else None

    def get_all(self) -> list[Link]:
        """Return all links, the preferred one first."""
        return self._order

    def choose(self, now: float, *, besides: str | None = None) -> Link | None:
        """Return the best peer: in another failure domain, not failing lately."""
        fallback = None
        for link in self._order:
            if link.name == besides:
                continue
            if link.avoid_until <= now:
                return link
            fallback = fallback or link
        return fallback

    def _rank(self, peer: Peer) -> tuple[bool, int]:
        """Prefer other failure domains; spread the entries over the peers."""
        spread = zlib.crc32(f"{self._me}>{peer.name}".encode())
        return (peer.failure_domain == self._domain, spread)
