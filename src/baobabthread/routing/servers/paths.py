"""Paths from an instance to the backend servers, and the peers that may relay.

What one instance can't reach is not necessarily down: a partition may separate it from
servers that its peers reach. Its own path to each server is therefore tracked apart
from the server, and a lost path is replaced by a connection that a peer relays.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection, Iterator

import msgspec

from baobabthread.core.rendezvous import rank

PROBE_INTERVAL_S = 1.0
PROBES_TO_RESTORE = 2
"""Successful probes in a row after which a path is used again: one alone is common on a
link that loses packets."""
UNREACHABLE_S = 1.0
"""Time for which a server counts as unreachable after all paths to it have failed."""
MIN_LOST_SERVERS = 2
LOST_FRACTION = 0.5
"""Fraction of the servers, and their least number, that only peers reach when this
instance itself is partitioned."""
AVOID_RELAY_S = 2.0
"""Time for which a peer is not asked again after it failed to relay, while another one
may reach the server."""
MIN_RETRY_S = 0.125
"""Time after which the only one left is asked again. It doubles with each failure."""
MAX_RELAYS = 3
"""Peers that are asked for one connection."""


class PathLoss(enum.StrEnum):
    """What a lost path no longer carries."""

    NEW_CONNECTIONS = "new connections"
    """New connections fail; open ones may live on."""
    ALL = "all"
    """Open connections are silent, too."""


class _Backoff:
    """Wait that doubles with each failure soon after the last one."""

    __slots__ = ("_max_s", "_wait_s", "until")

    def __init__(self, *, max_s: float) -> None:
        self._max_s = max_s
        self._wait_s = 0.0
        self.until = -1e9

    def extend(self, now: float) -> None:
        """Begin the next wait, unless one lasts: failures at once count as one."""
        if now < self.until:
            return
        is_repeated = now < self.until + self._max_s
        wait_s = 2 * self._wait_s if is_repeated else MIN_RETRY_S
        self._wait_s = min(wait_s, self._max_s)
        self.until = now + self._wait_s


class _Path:
    __slots__ = (
        "backoff",
        "is_refused",
        "lost",
        "passed",
        "probe_at",
        "unreachable_until",
    )

    def __init__(self) -> None:
        self.lost: PathLoss | None = None
        """What it no longer carries, if a peer reaches the server."""
        self.passed = 0
        """Probes in a row that have succeeded since the path was lost."""
        self.probe_at = -1e9
        self.unreachable_until = -1e9
        self.backoff = _Backoff(max_s=UNREACHABLE_S)
        self.is_refused = False
        """Whether the server was unreachable because nothing listens there."""


class PathTable:
    """State of this instance's own path to each backend server."""

    __slots__ = ("_lost", "_paths")

    def __init__(self) -> None:
        self._paths: dict[str, _Path] = {}
        self._lost: set[str] = set()

    @property
    def lost(self) -> Collection[str]:
        """Servers that only peers reach."""
        return self._lost

    def retain(self, names: Collection[str]) -> None:
        """Track these servers and forget all others."""
        for name in [name for name in self._paths if name not in names]:
            del self._paths[name]
            self._lost.discard(name)
        for name in names:
            if name not in self._paths:
                self._paths[name] = _Path()

    def find_loss(self, name: str) -> PathLoss | None:
        """Return what the path to a server no longer carries; None if it is used."""
        path = self._paths.get(name)
        return path.lost if path is not None else None

    def is_unreachable(self, name: str, now: float) -> bool:
        """Return whether neither this instance nor a peer reached a server lately."""
        path = self._paths.get(name)
        return path is not None and now < path.unreachable_until

    def was_refused(self, name: str) -> bool:
        """Return whether an unreachable server refused connections."""
        path = self._paths.get(name)
        return path is not None and path.is_refused

    @property
    def is_partitioned(self) -> bool:
        """Whether so many paths are lost that this instance itself is cut off."""
        needed = max(MIN_LOST_SERVERS, LOST_FRACTION * len(self._paths))
        return len(self._lost) >= needed

    def record_failed(self, name: str, now: float) -> None:
        """Record that a direct connection failed."""
        path = self._paths.get(name)
        if path is not None:
            path.passed = 0
            path.probe_at = now + PROBE_INTERVAL_S

    def record_connected(self, name: str, now: float) -> bool:
        """Record a direct connection; return whether it restores the path."""
        path = self._paths.get(name)
        if path is None:
            return False
        path.unreachable_until = -1e9
        if path.lost is None:
            return False
        path.passed += 1
        path.probe_at = now + PROBE_INTERVAL_S
        if path.passed < PROBES_TO_RESTORE:
            return False
        path.lost = None
        self._lost.discard(name)
        return True

    def record_lost(self, name: str, loss: PathLoss, now: float) -> bool:
        """Record that only a peer reaches a server; return whether that is new."""
        path = self._paths.get(name)
        if path is None:
            return False
        path.unreachable_until = -1e9
        is_new = path.lost is None
        if is_new or loss is PathLoss.ALL:
            path.lost = loss
        if is_new:
            path.passed = 0
            path.probe_at = now + PROBE_INTERVAL_S
            self._lost.add(name)
        return is_new

    def record_unreachable(self, name: str, now: float, *, is_refused: bool) -> None:
        """Record that no path to a server was found."""
        path = self._paths.get(name)
        if path is None:
            return
        path.is_refused = is_refused
        if path.lost is None or is_refused:
            path.unreachable_until = now + UNREACHABLE_S
            return
        # A peer reached it lately: more likely is that the peer stood still.
        path.backoff.extend(now)
        path.unreachable_until = path.backoff.until

    def take_due(self, now: float, limit: int) -> list[str]:
        """Return lost paths that are due for a probe, the longest due first."""
        due = [name for name in self._lost if self._paths[name].probe_at <= now]
        due.sort(key=lambda name: self._paths[name].probe_at)
        for name in due[:limit]:
            self._paths[name].probe_at = now + PROBE_INTERVAL_S
        return due[:limit]


MayCarry = Callable[[str], bool]
"""Return whether the peers in a failure domain may carry a request."""


def carry_anywhere(failure_domain: str) -> bool:
    """Let any peer carry a request."""
    return True


class Relay(msgspec.Struct, frozen=True, kw_only=True):
    """A peer that may carry connections."""

    name: str
    address: str
    """IP address and port at which it accepts them."""
    failure_domain: str
    is_partitioned: bool = False
    """Whether it reports that it is cut off from most servers itself."""


class _Avoidance:
    __slots__ = ("backoff", "until")

    def __init__(self) -> None:
        self.until = -1e9
        self.backoff = _Backoff(max_s=AVOID_RELAY_S)
        """Wait until the peer is asked if no other one is left."""


class RelayTable:
    """Choose the peers that are asked to carry a connection."""

    __slots__ = ("_avoided", "_failure_domain", "_me", "_relays")

    def __init__(self, *, me: str, failure_domain: str) -> None:
        self._me = me
        self._failure_domain = failure_domain
        self._relays: dict[str, Relay] = {}
        self._avoided: dict[tuple[str, str], _Avoidance] = {}
        """Peers that are not asked for a server; an empty name means for any."""

    def update(self, relays: Collection[Relay]) -> None:
        """Replace the known peers."""
        self._relays = {r.name: r for r in relays if r.name != self._me}

    def permits_any(self, may_carry: MayCarry) -> bool:
        """Return whether any peer may carry a request."""
        return any(map(may_carry, self._list_domains()))

    def permits_all(self, may_carry: MayCarry) -> bool:
        """Return whether all peers may carry a request."""
        return all(map(may_carry, self._list_domains()))

    def _list_domains(self) -> set[str]:
        return {relay.failure_domain for relay in self._relays.values()}

    def may_use(self, relay: str, server: str, now: float) -> bool:
        """Return whether a peer may carry requests to a server."""
        return relay in self._relays and not self._is_avoided(relay, server, now)

    def permits(self, relay: str, may_carry: MayCarry) -> bool:
        """Return whether a known peer may carry a request."""
        known = self._relays.get(relay)
        return known is not None and may_carry(known.failure_domain)

    def avoid(
        self, relay: str, now: float, *, server: str = "", is_certain: bool = False
    ) -> None:
        """Don't ask a peer for a while, for one server or for any.

        `is_certain` tells that it would answer the same even if it were the only one.
        """
        self._avoided = {
            key: avoidance
            for key, avoidance in self._avoided.items()
            if avoidance.until + AVOID_RELAY_S > now
        }
        avoidance = self._avoided.setdefault((relay, server), _Avoidance())
        avoidance.until = now + AVOID_RELAY_S
        avoidance.backoff.extend(now)
        if is_certain:
            avoidance.backoff.until = avoidance.until

    def choose(
        self,
        server: str,
        failure_domain: str,
        now: float,
        *,
        may_carry: MayCarry = carry_anywhere,
    ) -> list[Relay]:
        """Return the peers to ask for a connection to a server, in order.

        Peers in the server's failure domain come first, as bytes then cross domains as
        often as on the direct path. Each instance has its own order for each server, so
        that the connections of many instances are spread evenly over the peers.
        """
        *reaching, partitioned = self._list_tiers(failure_domain, may_carry)
        # Where only one peer reaches the server, its standstill must not cost more
        # than a moment.
        chosen = self._rank(reaching, server, now) or self._rank(
            reaching, server, now, is_last_resort=True
        )
        chosen += self._rank([partitioned], server, now)
        return chosen[:MAX_RELAYS]

    def _rank(
        self,
        tiers: Collection[Collection[str]],
        server: str,
        now: float,
        *,
        is_last_resort: bool = False,
    ) -> list[Relay]:
        chosen: list[Relay] = []
        for names in tiers:
            allowed = [
                name
                for name in names
                if not self._is_avoided(
                    name, server, now, is_last_resort=is_last_resort
                )
            ]
            chosen += [
                self._relays[name] for name in rank(f"{self._me}/{server}", allowed)
            ]
            if len(chosen) >= MAX_RELAYS:
                break
        return chosen

    def _list_tiers(
        self, failure_domain: str, may_carry: MayCarry
    ) -> Iterator[list[str]]:
        relays = [r for r in self._relays.values() if may_carry(r.failure_domain)]
        reaching = [relay for relay in relays if not relay.is_partitioned]
        for domain in dict.fromkeys((failure_domain, self._failure_domain)):
            yield [r.name for r in reaching if r.failure_domain == domain]
        near = (failure_domain, self._failure_domain)
        yield [r.name for r in reaching if r.failure_domain not in near]
        yield [r.name for r in relays if r.is_partitioned]

    def _is_avoided(
        self, relay: str, server: str, now: float, *, is_last_resort: bool = False
    ) -> bool:
        for each in (server, ""):
            avoidance = self._avoided.get((relay, each))
            if avoidance is None:
                continue
            if now < (avoidance.backoff.until if is_last_resort else avoidance.until):
                return True
        return False
