"""Membership: who is alive, at a cost that does not grow with their number."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence

import msgspec

from baobabthread.core.configuration.freshness import Freshness, FreshnessState, Reach
from baobabthread.core.membership import comparison
from baobabthread.core.membership.contacts import Contacts
from baobabthread.core.membership.detector import Detector
from baobabthread.core.membership.gossip import GossipStore
from baobabthread.core.membership.messages import (
    Acknowledge,
    Announce,
    Digest,
    GossipPayload,
    Hint,
    MemberInfo,
    Members,
    MembershipMessage,
    MembershipSettings,
    MemberState,
    Prints,
    Probe,
    ProbeRequest,
    Synchronise,
)
from baobabthread.core.membership.sources import RecordSource
from baobabthread.core.membership.table import MemberTable
from baobabthread.core.membership.updates import UpdateQueue
from baobabthread.core.messages import Effects, Send
from baobabthread.core.positions import OperatorsPosition

__all__ = ["Membership", "MembershipSettings"]

FIRST_SYNCHRONISE_S = 0.5
JOIN_S = 0.3
"""Time between two tries to reach a seed while nobody is known: those that start in the
same moment are not there yet at the first one."""
JOINING_S = 4.0
"""Time from the start in which members are learnt by comparing tables alone. Where all
start at once everybody is news to everybody, and passing each one on would take a
hundred kilobytes of each instance among two hundred."""
UPDATE_BYTES = 140
"""About what a description of an entry takes."""
AGE_STEPS = 1000
"""Steps of a second in which ages are told."""
REACH_S = 0.2
"""How often the members that answered lately are counted."""


class Membership:
    """Find out which entries are alive and spread small values among them."""

    __slots__ = (
        "_contacts",
        "_detector",
        "_freshness",
        "_me",
        "_next_reach",
        "_next_reconnect",
        "_next_synchronise",
        "_rng",
        "_settings",
        "_source",
        "_started",
        "_synchronise_s",
        "_updates",
        "gossip",
        "table",
    )

    def __init__(
        self,
        *,
        me: MemberInfo,
        seeds: Sequence[str],
        rng: random.Random,
        freshness: Freshness | None = None,
        settings: MembershipSettings | None = None,
    ) -> None:
        self._me = me
        self._settings = settings or MembershipSettings()
        self._rng = rng
        self._freshness = freshness or Freshness()
        self.table = MemberTable()
        self.gossip = GossipStore(max_bytes=self._settings.gossip_store_bytes)
        self._contacts = Contacts(me=me.name, my_address=me.peer_address, seeds=seeds)
        self._updates = UpdateQueue(table=self.table)
        self._detector = Detector(
            me=me.name,
            table=self.table,
            updates=self._updates,
            freshness=self._freshness,
            make_digest=self._make_digest,
            rng=rng,
            settings=self._settings,
        )
        self._source = RecordSource(after_s=self._settings.fetch_after_s)
        self._started = math.inf
        self._next_reach = 0.0
        self._next_reconnect = 0.0
        self._next_synchronise = 0.0
        self._synchronise_s = FIRST_SYNCHRONISE_S

    @property
    def me(self) -> MemberInfo:
        """Give the description of this entry that it spreads."""
        return self._me

    @property
    def version(self) -> int:
        """Give a number that rises whenever a member or its state changes."""
        return self.table.version

    def members(self) -> list[MemberInfo]:
        """Return this entry and all that it knows of, in any state."""
        return [self._me, *self.table]

    def alive(self) -> list[MemberInfo]:
        """Return the entries that serve, this one included unless it leaves."""
        leaving = self._contacts.leaving
        return [m for m in self.members() if m.is_serving and m.name not in leaving]

    def lost(self) -> list[str]:
        """Return the entries that fell silent without having left."""
        return [
            member.name
            for member in self.table
            if member.state is MemberState.DEAD and not member.leaving
        ]

    def left(self) -> list[str]:
        """Return the entries that leave by their own word or the roster's."""
        leaving = self._contacts.leaving
        return [m.name for m in self.table if m.leaving or m.name in leaving]

    def unconfirmed(self, generation: int) -> list[str]:
        """Return the entries not known to be gone that lack a generation."""
        return [m.name for m in self.table.present() if m.generation < generation]

    def heard_within(self, seconds: float, now: float) -> list[str]:
        """Return the entries that sent anything themselves in that time."""
        return self.table.list_heard(since=now - seconds)

    def reach(self, now: float) -> Reach:
        """Return how many of the entries asked of late answered."""
        answers = self._detector.list_answers(now)
        return Reach(
            heard=sum(answers.values()),
            asked=len(answers),
            pool=len(self.table.present()),
            known=self._known(),
        )

    def peer_address(self, to: str) -> str:
        """Return where to send a message; a seed is named by its address."""
        member = self.table.get(to)
        return member.peer_address if member else to

    def report(self, *, generation: int, read_position: OperatorsPosition) -> None:
        """Note what this entry serves, to be told to the others."""
        self._me = msgspec.structs.replace(
            self._me,
            generation=generation,
            read_era=read_position.era,
            read_offset=read_position.offset,
        )

    def publish(self, payload: GossipPayload) -> None:
        """Spread a value of this entry to all others."""
        self.gossip.put(payload)

    def hint(self, instances: Iterable[Hint], now: float) -> None:
        """Take in the roster: it adds seeds and marks leaving, and never kills."""
        del now
        before = self._contacts.leaving
        self._contacts.take_hints(instances, self.table)
        if self._contacts.leaving != before:
            self.table.version += 1

    def leave(self, now: float) -> Effects:
        """Say that this entry leaves; it goes on answering."""
        self._me = msgspec.structs.replace(
            self._me,
            leaving=True,
            state=MemberState.LEAVING,
            counter=self._me.counter + 1,
        )
        self.table.version += 1
        return self.announce(self._me.generation, now)

    def announce(self, generation: int, now: float) -> Effects:
        """Tell others at once of a new generation; the rest hear it by probes."""
        names = [member.name for member in self.table.present()]
        if len(names) > self._settings.small_size:
            names = self._rng.sample(names, self._fan_out())
        return [
            Send(
                to=name,
                message=Announce(
                    generation=generation, digest=self._make_digest(name, now)
                ),
            )
            for name in names
        ]

    def poll(self, names: Iterable[str], now: float) -> Effects:
        """Ask entries at once for their state, such as who lacks a generation."""
        return [self._detector.probe(name, now) for name in names if name in self.table]

    def next_due(self, now: float) -> float:
        """Return when to call `tick` again, in seconds of the same clock as `now`."""
        due = min(self._next_synchronise, self._next_reconnect)
        due = min(due, self._detector.next_due())
        fetch_due = self._source.next_due()
        return max(now, due if fetch_due is None else min(due, fetch_due))

    def tick(self, now: float) -> Effects:
        """Do what is due: probe, suspect, bury, synchronise, fetch, reconnect."""
        self._started = min(self._started, now)
        effects = self._detector.tick(now)
        if now >= self._next_reconnect:
            period_s = self._settings.reconnect_s if len(self.table) else JOIN_S
            self._next_reconnect = now + self._jitter(period_s)
            effects += self._reconnect(now)
        if now >= self._next_synchronise:
            self._next_synchronise = now + self._jitter(self._synchronise_s)
            # An entry that just joined along with many others lacks most of them.
            if len(self.table):
                self._synchronise_s = min(
                    self._settings.synchronise_s, 2 * self._synchronise_s
                )
            effects += self._synchronise(now)
            self._forget(now)
        effects += self._source.fetch(self.table, self._me.read_position, now)
        if now >= self._next_reach:
            # It looks at every member; a fifth of a second is short beside the bound.
            self._next_reach = now + REACH_S
            self._freshness.observe(self.reach(now), now=now)
        return effects

    def handle(self, sender: str, message: MembershipMessage, now: float) -> Effects:
        """Take in a message of a peer and return what to answer."""
        del sender
        self._take_digest(message.digest, now)
        name = message.digest.sender.name
        match message:
            case Probe():
                return [
                    self._detector.acknowledge(
                        name, message.sequence, self._me.name, now
                    )
                ]
            case Acknowledge():
                return self._detector.take_answer(message, now)
            case ProbeRequest():
                return self._detector.run_errand(name, message, now)
            case Synchronise():
                return self._compare(name, message, now)
            case Prints():
                return self._take_prints(name, message)
            case Members():
                return self._take_members(name, message, now)
            case Announce():
                return self._source.fetch(self.table, self._me.read_position, now)

    def failed(self, to: str, message: MembershipMessage, now: float) -> Effects:
        """Note a message that could not be delivered; probes go through helpers."""
        del to
        if not isinstance(message, Probe):
            return []
        return self._detector.take_failure(message.sequence, now)

    def _jitter(self, seconds: float) -> float:
        return seconds * (0.75 + 0.5 * self._rng.random())

    def _fan_out(self) -> int:
        return math.ceil(math.log2(len(self.table) + 2)) + 1

    def _known(self) -> int:
        """Count the entries that may be there, silent ones and seeds included."""
        # A cut-off pair that counted only who answers would be a majority of itself
        # and serve a withdrawn version for ever.
        left = sum(m.leaving and m.state is MemberState.DEAD for m in self.table)
        return len(self.table) - left + self._contacts.count_unmet(self.table)

    def _forget(self, now: float) -> None:
        # Dead entries count towards the majority until the log is surely reached: an
        # entry that forgot them while cut off would become its own majority.
        before = now - self._settings.forget_s
        fresh = self._freshness.state(now) is FreshnessState.FRESH
        self.table.forget_dead(before=before, only_left=not fresh)
        if fresh and self._started <= before:
            self._contacts.settle()

    def _reconnect(self, now: float) -> Effects:
        """Offer to synchronise with a seed or a silent entry, so that cuts heal."""
        targets = [*self._contacts.list_unmet(self.table), *self.lost()]
        if not targets:
            return []
        if len(self.table):
            targets = [self._rng.choice(targets)]
        return [self._offer(target, now) for target in targets]

    def _synchronise(self, now: float) -> Effects:
        names = [m.name for m in self.table if m.state is MemberState.ALIVE]
        if not names:
            return []
        return [self._offer(self._rng.choice(names), now)]

    def _offer(self, to: str, now: float) -> Send:
        checksum = self.table.checksum(self._me)
        message = Synchronise(checksum=checksum, digest=self._make_digest(to, now))
        return Send(to=to, message=message)

    def _compare(self, name: str, message: Synchronise, now: float) -> Effects:
        if message.checksum == self.table.checksum(self._me):
            return [self._detector.acknowledge(name, 0, self._me.name, now)]
        sample = self.gossip.sample(limit_bytes=self._settings.sync_gossip_bytes)
        digest = Digest(sender=self._make_digest(name, now).sender, gossip=sample)
        return [comparison.list_known(self._known_members(), name, digest)]

    def _known_members(self) -> list[MemberInfo]:
        return [self._me, *self.table.present()]

    def _take_prints(self, name: str, message: Prints) -> Effects:
        digest = Digest(sender=self._me)
        known = self._known_members()
        return comparison.answer_prints(known, message, name, digest)

    def _take_members(self, name: str, message: Members, now: float) -> Effects:
        known = self._known_members()
        for info in message.members:
            self._merge(info, now)
        digest = Digest(sender=self._me)
        return comparison.answer_wants(known, message, name, digest)

    def _make_digest(self, to: str, now: float) -> Digest:
        # Failure: this entry folds a record that takes a key away, and is asked before
        # its next report. The new age beside the offset before would tell an entry that
        # lacks the record that nothing is missing: it would go on to honour the key.
        furthest = max(self._me.read_position, self._freshness.folded)
        self._me = msgspec.structs.replace(
            self._me,
            # Rounded up: an age that is told too low would let a key live longer.
            head_age_s=math.ceil(self._freshness.head_age(now) * AGE_STEPS) / AGE_STEPS,
            read_era=furthest.era,
            read_offset=furthest.offset,
        )
        repeats = self._repeats()
        limit = self._settings.update_count
        updates = self._updates.choose(to=to, limit=limit, repeats=repeats)
        room = max(0, self._measure_room(now) - UPDATE_BYTES * len(updates))
        gossip = self.gossip.choose(limit_bytes=room, repeats=repeats)
        return Digest(sender=self._me, updates=updates, gossip=gossip)

    def _measure_room(self, now: float) -> int:
        """Return the bytes for updates and gossip, equal for each second."""
        settings = self._settings
        share = self._detector.choose_period(now) / settings.period_s
        return int(settings.gossip_bytes * share)

    def _repeats(self) -> int:
        """Return how often this entry passes one change on, enough to reach all."""
        digits = math.ceil(math.log10(len(self.table) + 2))
        return self._settings.spread_factor * digits

    def _take_digest(self, digest: Digest, now: float) -> None:
        sender = digest.sender
        self._merge(sender, now)
        self.table.note_heard(sender.name, now)
        for info in digest.updates:
            self._merge(info, now)
        for payload in digest.gossip:
            self.gossip.put(payload)
        self._source.note(sender, self._me.read_position, now)

    def _merge(self, info: MemberInfo, now: float) -> None:
        if info.name == self._me.name:
            self._refute(info)
            return
        is_news = self.table.merge(self._doubt(info, now), now)
        if is_news and now - self._started >= JOINING_S:
            self._updates.add(info.name)

    def _doubt(self, info: MemberInfo, now: float) -> MemberInfo:
        # An entry that was cut off buried the others; when it is back its word would
        # take them out of the addresses everywhere. Whoever heard the subject itself
        # of late takes that for a suspicion, which the subject can still refute.
        since = now - self._detector.suspicion_s()
        if info.state is MemberState.DEAD and self.table.was_heard(info.name, since):
            return msgspec.structs.replace(info, state=MemberState.SUSPECT)
        return info

    def _refute(self, info: MemberInfo) -> None:
        # An entry that was silent for a while is believed suspect or dead, also by
        # entries that hear it again. Only its own higher counter clears that; after a
        # restart with a clock set back it takes over the later start as well.
        mine = self._me
        if info.order <= mine.order:
            return
        self._me = msgspec.structs.replace(
            mine,
            started_at=max(mine.started_at, info.started_at),
            counter=info.counter + 1,
        )
