"""One real entry core in virtual time, amid members and a platform held in memory."""

from __future__ import annotations

import contextlib
import math
import random
import time
from collections import Counter, defaultdict
from collections.abc import Iterator

import msgspec

from baobabthread.adapters.codec import PeerCodec
from baobabthread.adapters.pollers import MAX_ASKED
from baobabthread.core.billing.types import BillsCopied, CopyBills
from baobabthread.core.configuration.records import Publish
from baobabthread.core.entry import CoreSettings, EntryCore
from baobabthread.core.events import (
    Answered,
    AttemptEnded,
    Dispatch,
    ListedInstance,
    LoadReported,
    Rated,
    RatingsRead,
    RequestArrived,
    RosterRead,
    SubmitRating,
    Tick,
)
from baobabthread.core.membership.messages import (
    Acknowledge,
    Digest,
    GossipPayload,
    MemberInfo,
    Probe,
    Synchronise,
)
from baobabthread.core.messages import (
    Append,
    Effects,
    LogRead,
    LogRecord,
    Received,
    Send,
    Stream,
)
from baobabthread.core.peermessages import PEER_MESSAGES
from baobabthread.core.sessions.tokens import SessionKey, SessionKeyRing
from baobabthread.core.sharing import TOPICS
from bench._control_members import Members, describe_member
from bench._control_texts import (
    CALLS,
    CAPACITY,
    Size,
    build_texts,
    count_services,
    hash_key,
    list_versions,
    name_account,
    name_service,
)

STEP_S = 0.05
"""Pace of ticks, as the shell's."""
SUBJECT = "entry-0"
WARM_REQUESTS = 30
"""Requests of each account before the measurement, 600 at most."""
MAX_WARM = 600
TRIES = 6
READS_S = 1.0
"""How often a read of a stream comes back when nothing is new."""
SETTLE_S = 5.0
"""Before the measurement: each link to a peer is told once which copies to keep."""
VARIANTS = 4
"""How often what members tell grows in the course of a run."""
HEARD_AT_ONCE = 16
"""Members whose values are merged at once before the measurement."""


class Usage(msgspec.Struct, kw_only=True):
    """Hold what control cost an entry in a time."""

    seconds: float = 0.0
    cpu_s: defaultdict[str, float]
    """Processor time by part."""
    sent: int = 0
    received: int = 0
    messages: int = 0
    """Messages sent and received."""


def build_core(seed: int) -> EntryCore:
    """Return the subject's core."""
    return EntryCore(
        me=describe_member(0),
        seeds=(),
        keys=SessionKeyRing(
            current=SessionKey(id="bench", secret=b"0123456789abcdef0123")
        ),
        rng=random.Random(seed),
        now=0.0,
        settings=CoreSettings(wall_offset_s=1_796_000_000.0),
    )


class Site:
    """Drive one core and answer it as the members and the platform would."""

    def __init__(self, *, size: Size, seed: int, conducts: bool = False) -> None:
        self._size = size
        self.conducts = conducts
        """Whether the subject gets the leases that it asks for."""
        self._rng = random.Random(seed)
        self._codec = PeerCodec(types=PEER_MESSAGES)
        self._texts = build_texts(size)
        self._heads: Counter[Stream] = Counter()
        self._offset = 0
        self._appended: list[tuple[Append, int]] = []
        self._requests = 0
        self._next_asked = 0
        self.now = 1.0
        self._begun = math.inf
        self.core = build_core(seed)
        self.usage = Usage(cpu_s=defaultdict(float))
        self._members = Members(size=size, rng=self._rng)
        self._publish_all()
        for _ in range(VARIANTS):
            self._warm()
            self._collect_payloads()
        self._join()
        self._hear_all()

    @contextlib.contextmanager
    def _charge(self, part: str) -> Iterator[None]:
        started = time.process_time()
        try:
            yield
        finally:
            self.usage.cpu_s[part] += time.process_time() - started

    def _publish_all(self) -> None:
        for section, text in self._texts.items():
            self.publish(section, text, base=0)

    def publish(self, section: str, text: str, base: int) -> None:
        """Let the core read one record of the configuration."""
        self._offset += 1
        publish = Publish(base=base, section=section, text=text, operator="bench")
        record = LogRecord(
            offset=self._offset,
            id=f"publish-{self._offset}",
            body=msgspec.Raw(msgspec.json.encode(publish)),
        )
        with self._charge("change"):
            effects = self.core.handle(
                self._read(Stream.CONFIGURATION, [record]), self.now
            )
        self._run(effects)

    def change(self, number: int) -> int:
        """Publish a changed section and return the size of its text."""
        sections = [name for name in self._texts if name != "services"]
        section = sections[number % len(sections)]
        text = f"# change {number}\n{self._texts[section]}"
        base = self.core.control.fold.section_generation(section)
        self.publish(section, text, base)
        return len(text)

    def _read(self, stream: Stream, records: list[LogRecord]) -> LogRead:
        head = self._offset if stream is Stream.CONFIGURATION else self._heads[stream]
        return LogRead(
            stream=stream, records=records, head=head, first=1, started_at=self.now
        )

    def _warm(self) -> None:
        """Let accounts use versions, so that there is something to tell peers."""
        self.core.handle(self._read(Stream.ROLLOUTS, []), self.now)
        total = min(MAX_WARM, WARM_REQUESTS * self._size.accounts) // VARIANTS
        for number in range(total):
            self.now += 0.01
            self._request(number)

    def _request(self, number: int) -> None:
        account = name_account(number % self._size.accounts)
        self._requests += 1
        effects = self.core.handle(
            RequestArrived(
                request_id=f"request-{self._requests}",
                service=name_service(number % count_services(self._size)),
                call=CALLS[number % len(CALLS)],
                is_model=True,
                key_sha256=hash_key(account),
                body=b"{}",
                prompt="draft",
            ),
            self.now,
        )
        for _ in range(TRIES):
            effects = self._answer(effects)

    def _answer(self, effects: Effects) -> Effects:
        following: Effects = []
        for effect in effects:
            if isinstance(effect, Dispatch):
                tokens = Answered(
                    signal=self._rng.uniform(0.5, 0.99), completion_tokens=200
                )
                ended = AttemptEnded(
                    request_id=effect.request_id,
                    backend=effect.backend,
                    outcome=tokens,
                    latency_s=0.5,
                    first_token_s=0.1,
                )
                following += self.core.handle(ended, self.now)
            elif isinstance(effect, SubmitRating):
                self.rate(effect)
        return following

    def rate(self, effect: SubmitRating) -> None:
        """Let the core read the rating of one of its answers."""
        rated = Rated(
            request_id=effect.request_id,
            service=effect.service,
            call=effect.call,
            version=effect.version,
            good=self._rng.random() < 0.9,
        )
        self.core.handle(RatingsRead(ratings=[rated]), self.now)

    def _collect_payloads(self) -> None:
        """Take what the warmed core would tell for what every member tells."""
        self.now += 2.0
        self.core.handle(Tick(), self.now)
        gossip = self.core.control.membership.gossip
        services = [name_service(n) for n in range(count_services(self._size))]
        told: list[GossipPayload] = []
        for name in TOPICS:
            for service in services:
                told += gossip.topic(f"{name}/{service}")
        self._members.told.append(told)

    def _join(self) -> None:
        table = self.core.control.membership.table
        self._members.offset = self._offset
        for info in self._members.describe_all():
            table.merge(info, self.now)
            table.note_heard(info.name, self.now)

    def _hear_all(self) -> None:
        """Fill the store of what members tell, as it is after some minutes."""
        gossip = self.core.control.membership.gossip
        for number in range(1, self._size.members):
            origin = describe_member(number).incarnation
            for payload in self._members.told[0]:
                gossip.put(msgspec.structs.replace(payload, origin=origin, sequence=0))
            if number % HEARD_AT_ONCE == 0:
                self.now += 1.0
                self._run(self.core.handle(Tick(), self.now))

    @property
    def members(self) -> Members:
        """Give the members that the core meets."""
        return self._members

    def run(self, seconds: float) -> Usage:
        """Run for some virtual seconds and return what control cost."""
        self._advance(SETTLE_S)
        self._begun = self.now
        self.usage = Usage(cpu_s=defaultdict(float), seconds=seconds)
        self._advance(seconds)
        return self.usage

    def _advance(self, seconds: float) -> None:
        period = self._members.period_s
        next_probe, next_read = self.now + period, self.now
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            with self._charge("tick"):
                effects = self.core.handle(Tick(), self.now)
            self._run(effects)
            if self._size.members > 1 and self.now >= next_probe:
                # Each member probes one other a period, so that one probes the subject.
                next_probe += period
                self._probe()
            if self.now >= next_read:
                next_read += READS_S
                self._poll()

    def _poll(self) -> None:
        with self._charge("streams"):
            for stream in (Stream.CONFIGURATION, Stream.CLAIMS, Stream.ROLLOUTS):
                self.core.handle(self._read(stream, []), self.now)
        self._report_loads()
        self._list_instances()

    def _report_loads(self) -> None:
        size = self._size
        versions = [list_versions(size, n) for n in range(count_services(size))]
        asked = min(size.backends, MAX_ASKED)
        reports = [
            LoadReported(
                backend=f"backend-{number}",
                running=4,
                waiting=0,
                capacity=CAPACITY,
                versions=versions[number % len(versions)],
                tokens_per_s=500.0,
            )
            for number in (
                (self._next_asked + place) % size.backends for place in range(asked)
            )
        ]
        self._next_asked += asked
        with self._charge("load reports"):
            for report in reports:
                self.core.handle(report, self.now)

    def _list_instances(self) -> None:
        size = self._size
        entries = [
            ListedInstance(name=each.name, address=each.peer_address, leaving=False)
            for each in map(describe_member, range(size.members))
        ]
        backends = [
            ListedInstance(name=f"backend-{n}", address="", leaving=False)
            for n in range(size.backends)
        ]
        event = RosterRead(entries=entries, backends=backends)
        with self._charge("list of instances"):
            self.core.handle(event, self.now)

    def _probe(self) -> None:
        member = self._members.choose()
        probe = Probe(sequence=1, digest=self._make_digest(member))
        self._deliver(probe.digest.sender.incarnation, probe)

    def _make_digest(self, sender: MemberInfo) -> Digest:
        return self._members.make_digest(sender, self.now - self._begun)

    def _deliver(self, sender: str, message: msgspec.Struct) -> None:
        """Give the core a message as its bytes and send what it answers."""
        body = self._codec.encode(sender, [message])
        self.usage.received += len(body)
        self.usage.messages += 1
        with self._charge("messages in"):
            _, messages = self._codec.decode(body)
            effects = self.core.handle(
                Received(sender=sender, message=messages[0]), self.now
            )
        self._run(effects)

    def _run(self, effects: Effects) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, Append):
                self._append(effect)

    def _send(self, send: Send) -> None:
        with self._charge("messages out"):
            body = self._codec.encode(SUBJECT, [send.message])
        self.usage.sent += len(body)
        self.usage.messages += 1
        message = send.message
        if isinstance(message, CopyBills):
            self._deliver(send.to, BillsCopied(batch=message.batch))
            return
        known = self.core.control.membership.table.get(send.to)
        if known is None:
            return
        if isinstance(message, Probe | Synchronise):
            sequence = message.sequence if isinstance(message, Probe) else 0
            answer = Acknowledge(
                sequence=sequence, subject=known.name, digest=self._make_digest(known)
            )
            self._deliver(known.incarnation, answer)

    def _append(self, append: Append) -> None:
        """Read a record back at once, if the subject is to conduct."""
        if append.stream is not Stream.ROLLOUTS or not self.conducts:
            return
        self._heads[append.stream] += 1
        record = LogRecord(
            offset=self._heads[append.stream],
            id=append.id,
            body=msgspec.Raw(append.body),
        )
        with self._charge("streams"):
            effects = self.core.handle(self._read(append.stream, [record]), self.now)
        self._run(effects)
