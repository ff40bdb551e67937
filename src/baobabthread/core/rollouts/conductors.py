"""Roll-outs, quarantines and orders of one entry, for all model services."""

from __future__ import annotations

import base64
import random
from collections.abc import Callable

import msgspec
import xxhash

from baobabthread.core.configuration.configuration import (
    Configuration,
    ServiceKind,
)
from baobabthread.core.events import LoadReported, OrderEnded, Rated
from baobabthread.core.messages import Append, Effects, LogRead, Stream
from baobabthread.core.models.selection import Barred, Selection
from baobabthread.core.rollouts.conducted import Conducted
from baobabthread.core.rollouts.conducting import make_record, next_step
from baobabthread.core.rollouts.detectors import Detector, Observation
from baobabthread.core.rollouts.orders import EngineReport, OrderEngine
from baobabthread.core.rollouts.rollout import (
    Phase,
    PlannedRollout,
    Quarantined,
    RolloutFold,
    RolloutRecord,
    encode_record,
)
from baobabthread.core.rollouts.situations import RolloutStatus, Situations

STEP_S = 0.5
"""How often detectors and roll-outs are looked at."""
REPEAT_S = 3.0
"""How long a record may take to be read back before it is appended again."""
RESTATE_S = 600.0
"""How often a conductor restates what its service has come to, in seconds."""
MAX_APPENDED = 1_000
"""Records remembered as appended before older ones are forgotten."""


class Conductors:
    """Fold roll-outs, watch versions, and conduct the services whose lease is held."""

    __slots__ = (
        "_appended",
        "_cleared",
        "_compared",
        "_configuration",
        "_me",
        "_next_step",
        "_rng",
        "_sequence",
        "_services",
        "_situations",
        "caught_up",
        "fold",
    )

    def __init__(self, *, incarnation: str, rng: random.Random) -> None:
        self._me = incarnation
        self._rng = rng
        self._services: dict[str, Conducted] = {}
        self._configuration: Configuration | None = None
        self._appended: dict[str, float] = {}
        self._compared: set[str] = set()
        self._cleared: dict[str, int] = {}
        self._next_step = 0.0
        self._sequence = 0
        self.fold = RolloutFold()
        self._situations = Situations(fold=self.fold)
        self.caught_up = False
        """Whether the stream was read up to its head once since the start."""

    def reconfigure(self, configuration: Configuration, now: float) -> None:
        """Take over a newly accepted configuration."""
        self._configuration = configuration
        self._situations.configuration = configuration
        self.fold.configure(
            rollouts=[
                PlannedRollout(id=_identify(name, plan), plan=plan)
                for name, plan in configuration.rollouts.items()
            ],
            published={
                name: version.cleared
                for name, version in configuration.versions.items()
            },
            now=now,
        )
        for name, service in configuration.services.items():
            if service.kind is not ServiceKind.MODEL:
                continue
            known = self._services.get(name)
            if known is None or known.detector_name != service.detector:
                self._services[name] = Conducted(
                    name=name, holder=self._me, detector=service.detector, rng=self._rng
                )
        self._reset_detectors(configuration)
        self._select_all()

    def _reset_detectors(self, configuration: Configuration) -> None:
        """Begin anew for roll-outs that are new and versions that were cleared."""
        # Only for those: a reset forgets evidence, and one on each of thousands of
        # publishes a day would never let an alarm ripen.
        for planned in self.fold.unfinished():
            if planned.id not in self._compared:
                self._compared.add(planned.id)
                detector = self._services[planned.plan.service].detector
                detector.reset(planned.plan.new, old=planned.plan.old)
        for name, version in configuration.versions.items():
            known = self._services.get(version.service)
            if known is not None and version.cleared != self._cleared.get(name, 0):
                known.detector.reset(name)
            self._cleared[name] = version.cleared

    def get_selection(self, service: str) -> Selection:
        """Return what `choose_versions` needs for a service."""
        return self._services[service].selection

    def get_detector(self, service: str) -> Detector:
        """Return the detector of a service."""
        return self._services[service].detector

    def observe(self, service: str, observation: Observation, now: float) -> None:
        """Take in an outcome seen here."""
        conducted = self._services.get(service)
        if conducted is None:
            return
        conducted.detector.observe(observation, now=now)
        if observation.error or observation.good is False:
            self._take_alarms(conducted, now)

    def count_rating(self, rated: Rated) -> None:
        """Count a rating of any entry's answer."""
        self._situations.rated[rated.version] += 1

    def on_load(self, event: LoadReported, now: float) -> None:
        """Take in an engine's report of what it has loaded."""
        if self._configuration is None:
            return
        backend = self._configuration.backends.get(event.backend)
        conducted = self._services.get(backend.service) if backend else None
        if conducted is None:
            return
        self._situations.loaded[event.backend] = frozenset(event.versions)
        report = EngineReport(
            backend=event.backend, loaded=event.versions, capacity=event.capacity
        )
        conducted.orders.on_report(report, now)

    def may_order(self, order: OrderEngine, now: float) -> bool:
        """Tell whether an order that was planned may still be sent."""
        # The plan may be old by the time it is written to the engine: a process that
        # was paused in between would order beside its successor.
        conducted = self._find_conducted(order.backend)
        if conducted is None or conducted.lease.fence != order.fence:
            return False
        return conducted.lease.may_order(now, order.timeout_s)

    def on_order_ended(self, ended: OrderEnded) -> None:
        """Note how an order ended."""
        conducted = self._find_conducted(ended.backend)
        if conducted is None:
            return
        conducted.open_orders = max(0, conducted.open_orders - 1)
        if ended.stale:
            conducted.orders.on_refused(ended.backend, ended.fence)

    def _find_conducted(self, backend: str) -> Conducted | None:
        if self._configuration is None:
            return None
        configured = self._configuration.backends.get(backend)
        return self._services.get(configured.service) if configured else None

    def on_log_read(self, read: LogRead, now: float) -> Effects:
        """Fold the stream of roll-outs."""
        changed = False
        for record in read.records:
            before = self._situations.list_steps()
            if self.fold.apply(record, now=now):
                changed = True
                self._situations.note_steps(before)
        # Until then a quarantine may stand in what was not read yet, and a fresh entry
        # would send callers to a version that all others have left.
        last = read.records[-1].offset if read.records else read.head
        self.caught_up = self.caught_up or last >= read.head
        effects: Effects = []
        for conducted in self._services.values():
            effects += conducted.lease.on_log_read(read, now)
        if changed:
            self._select_all()
        return effects

    def tick(
        self, now: float, *, is_in_force_everywhere: Callable[[], bool]
    ) -> Effects:
        """Watch, quarantine, conduct and order."""
        if now < self._next_step or self._configuration is None:
            return []
        self._next_step = now + STEP_S
        effects: Effects = []
        for conducted in self._services.values():
            effects += self._watch(conducted, now)
            effects += conducted.lease.tick(now)
            if conducted.lease.is_held(now):
                effects += self._conduct(conducted, now)
                conducted.orders.set_target(
                    self._situations.find_target(
                        conducted.name, everywhere=is_in_force_everywhere()
                    )
                )
                orders = conducted.orders.plan(conducted.lease, now)
                conducted.open_orders += len(orders)
                effects += orders
                effects += self._restate(conducted, now)
        self._select_all()
        return effects

    def release(self, now: float) -> Effects:
        """Give up the leases, since this entry stops."""
        effects: Effects = []
        for conducted in self._services.values():
            # A successor claims at once and would order beside an order that is still
            # under way; such a lease is left to lapse.
            if not conducted.open_orders:
                effects += conducted.lease.release(now)
        return effects

    def list_barred(self) -> frozenset[Barred]:
        """Return what the log and the detectors here bar."""
        return self.fold.quarantined() | frozenset(
            Barred(version=alarm.version, call=alarm.call)
            for conducted in self._services.values()
            for alarm in conducted.detector.alarms(0.0)
        )

    def _watch(self, conducted: Conducted, now: float) -> Effects:
        """Append a quarantine for each alarm that the log does not show yet."""
        effects: Effects = []
        known = self.fold.quarantined()
        for alarm in conducted.detector.alarms(now):
            barred = Barred(version=alarm.version, call=alarm.call)
            if barred in known:
                continue
            assert self._configuration is not None
            effects += self._append(
                f"quarantine/{alarm.version}/{alarm.call or '*'}",
                Quarantined(
                    service=conducted.name,
                    version=alarm.version,
                    call=alarm.call,
                    reason=f"{alarm.reason}: {alarm.evidence}",
                    generation=self._configuration.generation,
                ),
                now,
            )
        return effects

    def _conduct(self, conducted: Conducted, now: float) -> Effects:
        effects: Effects = []
        for planned in self.fold.planned(conducted.name):
            life = self.fold.life(planned.id)
            if life is None or life.is_final:
                continue
            self.fold.mark_loading(planned.id, now=now)
            situation = self._situations.look(
                planned, detector=conducted.detector, now=now
            )
            decision = next_step(planned, life, situation, now=now)
            record = make_record(planned, decision, conducted.lease.fence)
            if record is not None:
                what = f"{planned.id}/{type(record).__name__}/{life.step}"
                effects += self._append(what, record, now)
        return effects

    def _restate(self, conducted: Conducted, now: float) -> Effects:
        """Append again what stands, before the log forgets it."""
        # A quarantine whose record has expired would be unknown to every entry that
        # starts afterwards; the version would get traffic again, entry by entry.
        if now < conducted.restate_at:
            return []
        conducted.restate_at = now + RESTATE_S
        records = self.fold.restate(conducted.name, fence=conducted.lease.fence)
        effects: Effects = []
        for number, record in enumerate(records):
            what = f"restate/{conducted.name}/{conducted.lease.fence}/{now}/{number}"
            effects += self._append(what, record, now)
        return effects

    def _append(self, what: str, record: RolloutRecord, now: float) -> Effects:
        """Append a record once; again only when it was not read back for long."""
        asked_at = self._appended.get(what)
        if asked_at is not None and now - asked_at < REPEAT_S:
            return []
        if len(self._appended) > MAX_APPENDED:
            recent = now - REPEAT_S
            self._appended = {k: at for k, at in self._appended.items() if at > recent}
        self._appended[what] = now
        self._sequence += 1
        return [
            Append(
                stream=Stream.ROLLOUTS,
                id=f"{self._me}:{self._sequence}:{what}",
                body=encode_record(record),
            )
        ]

    def _select_all(self) -> None:
        configuration = self._configuration
        if configuration is None:
            return
        barred = self.list_barred()
        for name, conducted in self._services.items():
            service = configuration.services.get(name)
            if service is None:
                continue
            plans = self.fold.planned(name)
            factors = {
                planned.plan.new: conducted.detector.traffic_factor(planned.plan.new)
                for planned in plans
            }
            conducted.selection = Selection(
                cascade=service.cascade,
                states={
                    version: row.state
                    for version, row in configuration.versions.items()
                    if row.service == name
                },
                splits=self.fold.splits(name, factors=factors),
                barred=barred,
                damped=conducted.detector.damped(),
            )

    def describe(self, now: float) -> list[RolloutStatus]:
        """Return the state of the roll-outs, for operators."""
        result = []
        for name, conducted in self._services.items():
            for planned in self.fold.planned(name):
                life = self.fold.life(planned.id)
                result.append(
                    RolloutStatus(
                        rollout=planned.id,
                        service=name,
                        old=planned.plan.old,
                        new=planned.plan.new,
                        phase=life.phase if life else Phase.OFFERED,
                        step=life.step if life else -1,
                        share=self.fold.share(name, planned.plan.new),
                        conductor=conducted.lease.holder,
                        fence=conducted.lease.fence,
                        held_here=conducted.lease.is_held(now),
                    )
                )
        return result

    def pack_evidence(self, service: str) -> str:
        """Return the detector's counts as text that JSON can carry."""
        return base64.b64encode(self._services[service].detector.evidence()).decode()

    def merge_evidence(
        self, service: str, *, origin: str, text: str, now: float
    ) -> None:
        """Take in the counts of a peer's detector."""
        conducted = self._services.get(service)
        if conducted is not None:
            conducted.detector.merge(
                origin=origin, evidence=base64.b64decode(text), now=now
            )
            self._take_alarms(conducted, now)

    def _take_alarms(self, conducted: Conducted, now: float) -> None:
        """Bar what an alarm names at once, not with the next look."""
        # Until then every caller would still be sent to a version known to be bad.
        alarms = len(conducted.detector.alarms(now))
        if alarms != conducted.alarms:
            conducted.alarms = alarms
            self._select_all()


def _identify(name: str, plan: object) -> str:
    """Name a roll-out by its text, alike at all entries however they learnt it."""
    digest = xxhash.xxh3_64_hexdigest(msgspec.json.encode(plan))
    return f"{name}@{digest[:8]}"
