"""Members that one real core meets, held in memory as what they would tell."""

from __future__ import annotations

import random

import msgspec

from baobabthread.core.membership.gossip import measure
from baobabthread.core.membership.messages import (
    Digest,
    GossipPayload,
    MemberInfo,
    MembershipSettings,
)
from bench._control_texts import Size

VARIANT_S = 1.5
"""How long it takes until what members tell has grown once more."""
DRAWS = 12
"""Values that are tried for the gossip of one message."""


def describe_member(number: int) -> MemberInfo:
    """Return the description of a member."""
    host = f"10.200.{number // 250}.{number % 250 + 1}"
    return MemberInfo(
        name=f"entry-{number}",
        address=f"{host}:8001",
        peer_address=f"{host}:9001",
        failure_domain=f"domain-{number % 8}",
        incarnation=f"entry-{number}-1a237f2f{number:09x}",
        started_at=1_796_000_000.0 + number,
    )


class Members:
    """Choose members and what their messages carry."""

    def __init__(self, *, size: Size, rng: random.Random) -> None:
        self._size = size
        self._rng = rng
        self.told: list[list[GossipPayload]] = []
        """What a member tells, as it grows."""
        self.offset = 0
        """How far all have read the configuration."""

    @property
    def largest_payload(self) -> int:
        """Give the size of the largest value that a member tells."""
        return max(measure(payload) for payload in self.told[-1])

    @property
    def room(self) -> float:
        """Give the bytes of gossip that one message may carry."""
        settings = MembershipSettings()
        share = self.period_s / settings.period_s
        return settings.gossip_bytes * share

    @property
    def period_s(self) -> float:
        """Give the time between two probes of one member."""
        settings = MembershipSettings()
        small = self._size.members <= settings.small_size
        return settings.small_period_s if small else settings.period_s

    def describe_all(self) -> list[MemberInfo]:
        """Return the descriptions of all but the subject."""
        numbers = range(1, self._size.members)
        return [self._update(describe_member(number)) for number in numbers]

    def choose(self) -> MemberInfo:
        """Return any member but the subject."""
        return describe_member(self._rng.randrange(1, self._size.members))

    def make_digest(self, sender: MemberInfo, passed_s: float) -> Digest:
        """Return a digest whose gossip is as full as the protocol lets it be."""
        room = self.room
        gossip: list[GossipPayload] = []
        for _ in range(DRAWS):
            payload = self._draw_payload(passed_s)
            if measure(payload) <= room:
                room -= measure(payload)
                gossip.append(payload)
        return Digest(sender=self._update(sender), gossip=gossip)

    def _update(self, member: MemberInfo) -> MemberInfo:
        return msgspec.structs.replace(
            member, generation=self.offset, read_offset=self.offset, head_age_s=0.5
        )

    def _draw_payload(self, passed_s: float) -> GossipPayload:
        variant = min(len(self.told) - 1, int(max(0.0, passed_s) / VARIANT_S))
        payload = self._rng.choice(self.told[variant])
        origin = self.choose().incarnation
        return msgspec.structs.replace(payload, origin=origin, sequence=1 + variant)
