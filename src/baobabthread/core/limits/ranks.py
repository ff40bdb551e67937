"""The accounts that have work, ranked by class and by what they have queued."""

from __future__ import annotations

import heapq

from baobabthread.core.limits.flows import Flow

MAX_LOOKED_AT = 32
"""Accounts looked at to estimate a wait; of more, these stand for the rest."""
SLACK = 64
"""Outdated ranks that may stay besides two for each account."""

Rank = tuple[float, int, Flow]
"""Order accounts by a key, then by a stamp that no other rank has."""


class Ranks:
    """Find the account that is furthest behind its share, or furthest over it.

    A rank that no longer holds stays in its heap until it comes up.
    """

    __slots__ = ("_heaps", "_sizes", "_stamp")

    def __init__(self) -> None:
        self._heaps: list[list[Rank]] = [[], [], []]
        self._sizes: list[Rank] = []
        self._stamp = 0

    def enter(self, account: Flow, level: int) -> None:
        """Rank an account that has work in a class, unless it is held."""
        if account.held:
            return
        stamp = account.stamps[level] = self._next_stamp()
        heapq.heappush(self._heaps[level], (account.key(level), stamp, account))

    def renew(self, account: Flow) -> None:
        """Rank an account again whose key has fallen."""
        for level, count in enumerate(account.counts):
            if count:
                self.enter(account, level)

    def resize(self, account: Flow) -> None:
        """Rank an account by what it has queued, once that has grown."""
        account.size_stamp = self._next_stamp()
        size = (-account.queued_share(), account.size_stamp, account)
        heapq.heappush(self._sizes, size)

    def first(self, level: int) -> Flow | None:
        """Return the account of a class that is furthest behind its share."""
        heap = self._heaps[level]
        while heap:
            key, stamp, account = heap[0]
            if stamp != account.stamps[level] or not account.counts[level]:
                heapq.heappop(heap)
            elif key != (current := account.key(level)):
                heapq.heapreplace(heap, (current, stamp, account))
            else:
                return account
        return None

    def largest(self, own: Flow, tokens: int) -> Flow:
        """Return the account with the most queued per weight, a newcomer included."""
        heap = self._sizes
        own_share = own.queued_share() + tokens / own.weight
        while heap:
            key, stamp, account = heap[0]
            share = account.queued_share()
            if stamp != account.size_stamp or not share:
                heapq.heappop(heap)
            elif key != -share:
                heapq.heapreplace(heap, (-share, stamp, account))
            else:
                return account if share > own_share else own
        return own

    def tokens_before(self, start: float, level: int, own: Flow | None) -> float:
        """Return the tokens that others start before a virtual time."""
        heap = self._heaps[level]
        looked_at = heap[:MAX_LOOKED_AT]
        tokens = 0.0
        for _, stamp, account in looked_at:
            if account is own or stamp != account.stamps[level]:
                continue
            behind = (start - account.virtual) * account.weight
            if behind > 0.0:
                tokens += min(behind, sum(account.tokens[: level + 1]))
        return tokens * len(heap) / max(1, len(looked_at))

    def compact(self, accounts: int) -> None:
        """Drop outdated sizes once they outweigh the others."""
        if len(self._sizes) > 2 * accounts + SLACK:
            self._sizes = [i for i in self._sizes if i[1] == i[2].size_stamp]
            heapq.heapify(self._sizes)

    def _next_stamp(self) -> int:
        self._stamp += 1
        return self._stamp
