"""Membership: who is alive, at a cost that does not grow with their number."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from baobabthread.core.freshness import Freshness, FreshnessState, Reach
from baobabthread.core.membership_gossip import GossipStore
from baobabthread.core.membership_messages import (
    Acknowledge,
    Announce,
    Digest,
    FetchRecords,
    GossipPayload,
    Hint,
    MemberInfo,
    Members,
    MembershipMessage,
    MemberState,
    Probe,
    ProbeRequest,
    Synchronise,
)
from baobabthread.core.membership_table import MemberTable
from baobabthread.core.messages import Effects, Send

MAX_ASKED = 64
MAX_SEEDS = 64


class MembershipSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set the pace and the bounds of the protocol."""

    period_s: float = 1.0
    small_period_s: float = 0.4
    """Period where there are few members, so that all are asked within seconds."""
    small_size: int = 16
    answer_s: float = 0.15
    """Time after which an unanswered probe is tried through other entries."""
    helpers: int = 3
    suspicion_factor: float = 2.0
    """Times the logarithm of the number of members, in periods of one second."""
    synchronise_s: float = 30.0
    reconnect_s: float = 2.0
    """Time between tries to reach seeds and dead entries, until they are found."""
    forget_s: float = 600.0
    fetch_after_s: float = 0.2
    """Time for the log to deliver what a peer has before the peer is asked."""
    update_count: int = 6
    gossip_bytes: int = 1_000
    sync_gossip_bytes: int = 32_000
    gossip_store_bytes: int = 2_000_000
    spread_factor: int = 3
    pause_s: float = 2.0
    """Gap between two ticks after which this process counts as paused."""


class _Question(msgspec.Struct, kw_only=True):
    """Follow one probe until its answer or the end of its period."""

    sequence: int
    subject: str
    asked_at: float
    helped: bool = False
    answered: bool = False


class _Errand(msgspec.Struct, frozen=True, kw_only=True):
    """Remember for whom this entry probes another one."""

    asker: str
    sequence: int
    asked_at: float


class Membership:
    """Find out which entries are alive and spread small values among them."""

    __slots__ = (
        "_asked",
        "_errands",
        "_fetch_since",
        "_fetch_source",
        "_freshness",
        "_hinted_leaving",
        "_last_tick",
        "_me",
        "_next_period",
        "_next_reconnect",
        "_next_synchronise",
        "_question",
        "_rng",
        "_round",
        "_seeds",
        "_sequence",
        "_settings",
        "_started",
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
        self._seeds = dict.fromkeys(seeds, True)
        self._seeds.pop(me.peer_address, None)
        self._hinted_leaving: frozenset[str] = frozenset()
        self._updates: dict[str, int] = {}
        self._round: list[str] = []
        self._sequence = 0
        self._question: _Question | None = None
        self._asked: deque[_Question] = deque(maxlen=MAX_ASKED)
        self._errands: dict[int, _Errand] = {}
        self._fetch_source: str | None = None
        self._fetch_since = 0.0
        self._last_tick: float | None = None
        self._started = math.inf
        self._next_period = 0.0
        self._next_reconnect = 0.0
        self._next_synchronise = 0.0

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
        return [
            member
            for member in self.members()
            if member.is_serving and member.name not in self._hinted_leaving
        ]

    def peer_address(self, to: str) -> str:
        """Return where to send a message; a seed is named by its address."""
        member = self.table.get(to)
        return member.peer_address if member else to

    def heard_within(self, seconds: float, now: float) -> list[str]:
        """Return the entries that sent anything themselves in that time."""
        return [
            member.name
            for member in self.table
            if (self.table.heard_at(member.name) or -math.inf) >= now - seconds
        ]

    def unconfirmed(self, generation: int) -> list[str]:
        """Return the entries not known to be gone that lack a generation."""
        return [
            member.name
            for member in self.table
            if member.state is not MemberState.DEAD and member.generation < generation
        ]

    def reach(self, now: float) -> Reach:
        """Return how many entries answered within the freshness bound."""
        since = now - self._freshness.bound_s
        answered: dict[str, bool] = {}
        for question in self._asked:
            if question.asked_at >= since:
                known = answered.get(question.subject, False)
                answered[question.subject] = known or question.answered
        return Reach(
            heard=sum(answered.values()),
            asked=len(answered),
            pool=sum(m.state is not MemberState.DEAD for m in self.table),
            known=self._known(),
        )

    def report(self, *, generation: int, read_offset: int) -> None:
        """Note what this entry serves, to be told to the others."""
        self._me = msgspec.structs.replace(
            self._me, generation=generation, read_offset=read_offset
        )

    def publish(self, payload: GossipPayload) -> None:
        """Spread a value of this entry to all others."""
        self.gossip.put(payload)

    def hint(self, instances: Iterable[Hint], now: float) -> None:
        """Take in the roster: it adds seeds and marks leaving, and never kills."""
        # The roster lags: an entry that it lacks may just have started, and one that
        # it lists may be gone. Only probes decide about life.
        listed = [item for item in instances if item.name != self._me.name]
        self._hinted_leaving = frozenset(i.name for i in listed if i.leaving)
        for item in listed:
            known = item.name in self.table or item.leaving
            if not known and len(self._seeds) < MAX_SEEDS:
                self._seeds.setdefault(item.peer_address, True)

    def leave(self, now: float) -> Effects:
        """Say that this entry leaves; it goes on answering."""
        self._me = msgspec.structs.replace(
            self._me,
            leaving=True,
            state=MemberState.LEAVING,
            counter=self._me.counter + 1,
        )
        self.table.version += 1
        return self._push(now)

    def announce(self, generation: int, now: float) -> Effects:
        """Tell others at once of a new generation; the rest hear it by probes."""
        names = [m.name for m in self.table if m.state is not MemberState.DEAD]
        if len(names) > self._settings.small_size:
            names = self._rng.sample(names, self._fan_out())
        return [
            Send(
                to=name,
                message=Announce(
                    generation=generation, digest=self._digest(now, to=name)
                ),
            )
            for name in names
        ]

    def poll(self, names: Iterable[str], now: float) -> Effects:
        """Ask entries at once for their state, such as who lacks a generation."""
        return [self._probe(name, now) for name in names if name in self.table]

    def next_due(self, now: float) -> float:
        """Return when to call `tick` again, in seconds of the same clock as `now`."""
        due = min(self._next_period, self._next_synchronise, self._next_reconnect)
        question = self._question
        if question is not None and not question.answered and not question.helped:
            due = min(due, question.asked_at + self._settings.answer_s)
        if self._fetch_source is not None:
            due = min(due, self._fetch_since + self._settings.fetch_after_s)
        return max(now, due)

    def tick(self, now: float) -> Effects:
        """Do what is due: probe, suspect, bury, synchronise, fetch, reconnect."""
        self._excuse_pause(now)
        effects = self._ask_helpers(now)
        if now >= self._next_period:
            self._next_period = now + self._period()
            self._judge_question(now)
            self._bury(now)
            effects += self._probe_next(now)
        if now >= self._next_reconnect:
            self._next_reconnect = now + self._jitter(self._settings.reconnect_s)
            effects += self._reconnect(now)
        if now >= self._next_synchronise:
            self._next_synchronise = now + self._jitter(self._settings.synchronise_s)
            effects += self._synchronise(now)
            self._forget(now)
        effects += self._fetch(now)
        self._freshness.observe(self.reach(now), now=now)
        return effects

    def handle(self, sender: str, message: MembershipMessage, now: float) -> Effects:
        """Take in a message of a peer and return what to answer."""
        self._take_digest(message.digest, now)
        name = message.digest.sender.name
        match message:
            case Probe():
                return [self._acknowledge(name, message.sequence, self._me.name, now)]
            case Acknowledge():
                return self._take_answer(message, now)
            case ProbeRequest():
                return self._run_errand(name, message, now)
            case Synchronise():
                return self._compare(name, message, now)
            case Members():
                return self._take_members(name, message, now)
            case Announce():
                return self._fetch(now)

    def failed(self, to: str, message: MembershipMessage, now: float) -> Effects:
        """Note a message that could not be delivered; probes go through helpers."""
        question = self._question
        if not isinstance(message, Probe) or question is None:
            return []
        if message.sequence != question.sequence:
            return []
        return self._ask_helpers(now, at_once=True)

    def _period(self) -> float:
        if len(self.table) <= self._settings.small_size:
            return self._settings.small_period_s
        return self._settings.period_s

    def _jitter(self, seconds: float) -> float:
        return seconds * (0.75 + 0.5 * self._rng.random())

    def _fan_out(self) -> int:
        return math.ceil(math.log2(len(self.table) + 2)) + 1

    def _known(self) -> int:
        """Count the entries that may be there, unreachable ones and seeds included."""
        # A cut-off pair that counted only who answers would be a majority of itself
        # and serve a withdrawn version for ever.
        gone = sum(
            member.leaving and member.state is MemberState.DEAD for member in self.table
        )
        return len(self.table) - gone + sum(self._unmet().values())

    def _unmet(self) -> dict[str, bool]:
        """Return the seeds not met yet and whether they count as known."""
        met = {member.peer_address for member in self.table}
        return {seed: counts for seed, counts in self._seeds.items() if seed not in met}

    def _excuse_pause(self, now: float) -> None:
        # A process that was paused finds all its questions unanswered and all
        # suspicions run out, though it was itself that did not listen: it would
        # declare everybody dead. It begins a new period and shifts the suspicions.
        last = self._last_tick
        self._last_tick = now
        self._started = min(self._started, now)
        if last is None or now - last <= self._settings.pause_s:
            return
        self.table.shift_suspicions(now - last)
        self._question = None

    def _judge_question(self, now: float) -> None:
        question = self._question
        self._question = None
        if question is None or question.answered:
            return
        suspected = self.table.suspect(question.subject, now)
        if suspected is not None:
            self._updates[suspected.name] = 0

    def _bury(self, now: float) -> None:
        size = len(self.table) + 2
        wait = self._settings.suspicion_factor * math.log2(size)
        for member in self.table.bury_silent(since=now - wait, now=now):
            self._updates[member.name] = 0

    def _forget(self, now: float) -> None:
        before = now - self._settings.forget_s
        # Dead entries count towards the majority until the log is surely reached: an
        # entry that forgot them while cut off would become its own majority.
        fresh = self._freshness.state(now) is FreshnessState.FRESH
        self.table.forget_dead(before=before, only_left=not fresh)
        if fresh and now - self._started >= self._settings.forget_s:
            self._seeds = dict.fromkeys(self._seeds, False)

    def _probe_next(self, now: float) -> Effects:
        subject = self._next_subject()
        if subject is None:
            return []
        send = self._probe(subject, now)
        self._question = self._asked[-1]
        return [send]

    def _next_subject(self) -> str | None:
        """Return the next entry of a shuffled round, so that none is left out."""
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                member = self.table.get(name)
                if member is not None and member.state is not MemberState.DEAD:
                    return name
            self._round = [member.name for member in self.table]
            self._rng.shuffle(self._round)
        return None

    def _probe(self, name: str, now: float) -> Send:
        self._sequence += 1
        self._asked.append(
            _Question(sequence=self._sequence, subject=name, asked_at=now)
        )
        message = Probe(sequence=self._sequence, digest=self._digest(now, to=name))
        return Send(to=name, message=message)

    def _ask_helpers(self, now: float, *, at_once: bool = False) -> Effects:
        question = self._question
        if question is None or question.answered or question.helped:
            return []
        if not at_once and now < question.asked_at + self._settings.answer_s:
            return []
        question.helped = True
        names = [
            member.name
            for member in self.table
            if member.state in (MemberState.ALIVE, MemberState.LEAVING)
            and member.name != question.subject
        ]
        count = min(self._settings.helpers, len(names))
        return [
            Send(
                to=name,
                message=ProbeRequest(
                    sequence=question.sequence,
                    subject=question.subject,
                    digest=self._digest(now, to=name),
                ),
            )
            for name in self._rng.sample(names, count)
        ]

    def _run_errand(self, asker: str, message: ProbeRequest, now: float) -> Effects:
        if message.subject not in self.table:
            return []
        send = self._probe(message.subject, now)
        self._errands[self._sequence] = _Errand(
            asker=asker, sequence=message.sequence, asked_at=now
        )
        while len(self._errands) > MAX_ASKED:
            del self._errands[next(iter(self._errands))]
        return [send]

    def _take_answer(self, message: Acknowledge, now: float) -> Effects:
        errand = self._errands.pop(message.sequence, None)
        question = self._find_question(message)
        if question is not None:
            question.answered = True
            if message.subject == message.digest.sender.name:
                self._tell_freshness(message.digest.sender, question.asked_at)
        if errand is None or question is None:
            return []
        return [self._acknowledge(errand.asker, errand.sequence, message.subject, now)]

    def _find_question(self, message: Acknowledge) -> _Question | None:
        for question in reversed(self._asked):
            if question.sequence == message.sequence:
                return question if question.subject == message.subject else None
        return None

    def _tell_freshness(self, sender: MemberInfo, asked_at: float) -> None:
        self._freshness.hear(
            head_age_s=sender.head_age_s,
            read_offset=sender.read_offset,
            asked_at=asked_at,
        )

    def _acknowledge(self, to: str, sequence: int, subject: str, now: float) -> Send:
        message = Acknowledge(
            sequence=sequence, subject=subject, digest=self._digest(now, to=to)
        )
        return Send(to=to, message=message)

    def _reconnect(self, now: float) -> Effects:
        """Offer to synchronise with one seed or dead entry, so that cuts heal."""
        targets = list(self._unmet())
        targets += [
            member.name
            for member in self.table
            if member.state is MemberState.DEAD and not member.leaving
        ]
        if not targets:
            return []
        if not len(self.table):
            return [self._offer(target, now) for target in targets]
        return [self._offer(self._rng.choice(targets), now)]

    def _synchronise(self, now: float) -> Effects:
        names = [m.name for m in self.table if m.state is MemberState.ALIVE]
        if not names:
            return []
        return [self._offer(self._rng.choice(names), now)]

    def _offer(self, to: str, now: float) -> Send:
        checksum = self.table.checksum(self._me)
        message = Synchronise(checksum=checksum, digest=self._digest(now, to=to))
        return Send(to=to, message=message)

    def _compare(self, name: str, message: Synchronise, now: float) -> Effects:
        if message.checksum == self.table.checksum(self._me):
            return [self._acknowledge(name, 0, self._me.name, now)]
        return [self._list_members(name, now, wants_reply=True)]

    def _take_members(self, name: str, message: Members, now: float) -> Effects:
        for info in message.members:
            self._merge(info, now)
        if not message.wants_reply:
            return []
        return [self._list_members(name, now, wants_reply=False)]

    def _list_members(self, to: str, now: float, *, wants_reply: bool) -> Send:
        members = [m for m in self.table if m.state is not MemberState.DEAD]
        digest = msgspec.structs.replace(
            self._digest(now, to=to),
            gossip=self.gossip.sample(limit_bytes=self._settings.sync_gossip_bytes),
        )
        return Send(
            to=to,
            message=Members(members=members, wants_reply=wants_reply, digest=digest),
        )

    def _push(self, now: float) -> Effects:
        """Tell this entry's new state to as many as an announcement goes to."""
        return self.announce(self._me.generation, now)

    def _fetch(self, now: float) -> Effects:
        source = self._fetch_source
        member = self.table.get(source) if source else None
        if member is None or member.read_offset <= self._me.read_offset:
            self._fetch_source = None
            return []
        if now < self._fetch_since + self._settings.fetch_after_s:
            return []
        self._fetch_since = now
        return [FetchRecords(peer=member.name, after=self._me.read_offset)]

    def _digest(self, now: float, *, to: str) -> Digest:
        self._me = msgspec.structs.replace(
            self._me, head_age_s=self._freshness.head_age(now)
        )
        return Digest(
            sender=self._me,
            updates=self._choose_updates(to),
            gossip=self.gossip.choose(
                limit_bytes=self._settings.gossip_bytes, repeats=self._repeats()
            ),
        )

    def _repeats(self) -> int:
        return self._settings.spread_factor * math.ceil(math.log2(len(self.table) + 2))

    def _choose_updates(self, to: str) -> list[MemberInfo]:
        chosen: list[MemberInfo] = []
        target = self.table.get(to)
        # Whoever is suspected learns it first of all, so that it can refute in time.
        if target is not None and target.state is not MemberState.ALIVE:
            chosen.append(target)
        for name in sorted(self._updates, key=lambda name: self._updates[name]):
            member = self.table.get(name)
            if member is None:
                del self._updates[name]
            elif name != to and len(chosen) < self._settings.update_count:
                chosen.append(member)
                self._count_update(name)
        return chosen

    def _count_update(self, name: str) -> None:
        self._updates[name] += 1
        if self._updates[name] >= self._repeats():
            del self._updates[name]

    def _take_digest(self, digest: Digest, now: float) -> None:
        sender = digest.sender
        self._merge(sender, now)
        self.table.note_heard(sender.name, now)
        for info in digest.updates:
            self._merge(info, now)
        for payload in digest.gossip:
            self.gossip.put(payload)
        if sender.read_offset > self._me.read_offset and self._fetch_source is None:
            self._fetch_source = sender.name
            self._fetch_since = now

    def _merge(self, info: MemberInfo, now: float) -> None:
        if info.name == self._me.name:
            self._refute(info)
        elif self.table.merge(info, now):
            self._updates[info.name] = 0

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
