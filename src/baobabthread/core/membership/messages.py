"""Messages between entries about who is alive, and what they carry along."""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from baobabthread.core.positions import OperatorsPosition


class MemberState(enum.StrEnum):
    """Order what is believed about an entry; on a tie the later one holds."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


RANK = {state: rank for rank, state in enumerate(MemberState)}


class MemberInfo(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Describe one entry as known at some moment."""

    name: str
    address: str
    """IP number and port for callers."""
    peer_address: str
    """IP number and port for other entries."""
    failure_domain: str
    incarnation: str
    """Name of this start, fresh each time."""
    started_at: float
    """Start in seconds; orders the incarnations of one name."""
    counter: int = 0
    """Raised by the entry itself to refute what others believe."""
    state: MemberState = MemberState.ALIVE
    leaving: bool = False
    """Whether the entry itself said that it leaves."""
    generation: int = 0
    read_offset: int = 0
    head_age_s: float = 0.0
    """Age of its configuration when it sent this."""
    read_era: int = 0
    """Era of the log that `read_offset` counts in."""

    @property
    def read_position(self) -> OperatorsPosition:
        """Give how far it has read the log."""
        return OperatorsPosition(self.read_era, self.read_offset)

    @property
    def order(self) -> Order:
        """Give what decides which of two descriptions is newer."""
        return Order(
            started_at=self.started_at, counter=self.counter, rank=RANK[self.state]
        )

    @property
    def is_serving(self) -> bool:
        """Tell whether new callers may be sent to it."""
        return self.state is MemberState.ALIVE and not self.leaving


class Order(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Order descriptions of one entry: start, refutation, then state."""

    started_at: float
    counter: int
    rank: int


class GossipPayload(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Hold one small value that an entry spreads to all; the newest one counts."""

    topic: str
    origin: str
    """Who spreads it; use the incarnation, so that a restart begins anew."""
    sequence: int
    body: msgspec.Raw


class Digest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Hold what every message carries along, bounded in size."""

    sender: MemberInfo
    updates: list[MemberInfo] = []
    gossip: list[GossipPayload] = []


class Probe(msgspec.Struct, frozen=True, kw_only=True, tag="membership.probe"):
    """Ask an entry for a sign of life."""

    sequence: int
    digest: Digest


class Acknowledge(
    msgspec.Struct, frozen=True, kw_only=True, tag="membership.acknowledge"
):
    """Answer a probe, for oneself or for the entry that was probed for another."""

    sequence: int
    subject: str
    """Name of the entry that is alive."""
    digest: Digest


class ProbeRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag="membership.probe_request"
):
    """Ask an entry to probe another one, which did not answer directly."""

    sequence: int
    subject: str
    digest: Digest


class Synchronise(
    msgspec.Struct, frozen=True, kw_only=True, tag="membership.synchronise"
):
    """Offer to compare all members; also how an entry joins."""

    checksum: int
    """Equal where both know the same members in the same states."""
    digest: Digest


class Prints(msgspec.Struct, frozen=True, kw_only=True, tag="membership.prints"):
    """Tell which members the sender knows, as a fingerprint of each."""

    prints: bytes
    digest: Digest


class Members(msgspec.Struct, frozen=True, kw_only=True, tag="membership.members"):
    """Hold members that the receiver lacks, and name those that the sender lacks."""

    members: list[MemberInfo]
    wants: bytes
    """Fingerprints of those to be sent in return."""
    digest: Digest


class Announce(msgspec.Struct, frozen=True, kw_only=True, tag="membership.announce"):
    """Tell at once that there is a new generation of the configuration."""

    generation: int
    digest: Digest


MEMBERSHIP_MESSAGES = (
    Probe,
    Acknowledge,
    ProbeRequest,
    Synchronise,
    Prints,
    Members,
    Announce,
)
MembershipMessage: TypeAlias = (
    Probe | Acknowledge | ProbeRequest | Synchronise | Prints | Members | Announce
)


class FetchRecords(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to fetch configuration records that a peer has (an effect)."""

    peer: str
    after: int


class MembershipSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set the pace and the bounds of the protocol."""

    period_s: float = 1.0
    small_period_s: float = 0.4
    """Period where there are few members, so that all are asked within seconds."""
    stale_period_s: float = 0.2
    """Period while this entry does not know that its configuration is the newest."""
    alert_period_s: float = 0.25
    """Period after a member fell silent: others of its failure domain may have gone
    with it, and callers are sent to them until all know."""
    alert_s: float = 2.0
    """Time for which it lasts."""
    small_size: int = 16
    answer_s: float = 0.15
    """Time after which an unanswered probe is tried through other entries."""
    judge_s: float = 0.5
    """Time after which a member that answers neither counts as suspect, though the next
    period has not begun."""
    helpers: int = 3
    suspicion_factor: float = 2.0
    """Seconds of suspicion per power of two in the number of members."""
    synchronise_s: float = 30.0
    reconnect_s: float = 2.0
    """Time between tries to reach seeds and silent entries."""
    forget_s: float = 600.0
    fetch_after_s: float = 0.2
    """Time for the log to deliver what a peer has before the peer is asked."""
    update_count: int = 40
    """Changes of members in a message: when a failure domain is lost, a third of all
    members change state at once, and callers go on to be sent to them until all know.
    With 6 in a message 195 instances took over five seconds to learn of 32 losses."""
    gossip_bytes: int = 1_600
    """Gossip and updates in a message where the period is `period_s`; less where it is
    shorter."""
    sync_gossip_bytes: int = 16_000
    gossip_store_bytes: int = 2_000_000
    spread_factor: int = 4
    """Times that a change is passed on, per power of ten in the number of members."""
    pause_s: float = 2.0
    """Gap between two ticks after which this process counts as paused."""


class Hint(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the platform's lagging roster says about an entry."""

    name: str
    peer_address: str
    leaving: bool
