"""Rest that backend servers ask of this instance, directly or over a relay.

A server asks the instance whose connection carried the request. If a peer relayed it,
the peer is bound as well, and whoever sends through the peer.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import msgspec

from baobabthread.instance.clock import now
from baobabthread.instance.servers.owners import SendMessage
from baobabthread.logs import log_event
from baobabthread.routing.servers.rests import Rests


class RestAsked(msgspec.Struct, frozen=True, kw_only=True, tag="rest.asked"):
    """Report that a backend server asks the sender or the receiver for rest."""

    server: str
    """Its incarnation."""
    rest_s: float


REST_MESSAGES = (RestAsked,)


class RestCoordinator:
    """Keep the rests of backend servers, and tell the peers that they bind as well."""

    __slots__ = ("_send", "asked", "find_relayed_peers", "rests")

    def __init__(self, *, send: SendMessage, rng: random.Random) -> None:
        self._send = send
        self.rests = Rests(rng=rng)
        self.asked = 0
        """Rests that servers asked for since the start."""
        self.find_relayed_peers: Callable[[str], Iterable[str]] = lambda server: ()
        """Return the peers that reach a server over this instance."""

    def record_response(self, server: str, rest_s: float, relay: str) -> None:
        """Record a response to a request that a relay carried, if one is named."""
        if relay:
            self._send(relay, RestAsked(server=server, rest_s=rest_s))
        self._record(server, rest_s, source="response")

    def handle(self, sender: str, message: RestAsked) -> None:
        """Process a peer's report."""
        self._record(message.server, message.rest_s, source=sender)

    def _record(self, server: str, rest_s: float, *, source: str) -> None:
        if not self.rests.record(server, rest_s, now()):
            return
        self.asked += 1
        log_event(
            "backend_resting", backend=server, rest_s=round(rest_s, 3), source=source
        )
        for peer in self.find_relayed_peers(server):
            if peer != source:
                self._send(peer, RestAsked(server=server, rest_s=rest_s))
