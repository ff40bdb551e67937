"""All decisions of one entry: an event goes in, effects come out."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from baobabthread.core.backends.backends import LoadReport
from baobabthread.core.backends.balance import BackendTable
from baobabthread.core.billing.ledger import Ledger
from baobabthread.core.billing.types import (
    Peer,
)
from baobabthread.core.claims.claims import Claims
from baobabthread.core.claims.handover import HandOver
from baobabthread.core.configuration.configuration import Configuration
from baobabthread.core.configuration.control import (
    ConfigurationChanged,
    Control,
)
from baobabthread.core.configuration.directory import Directory
from baobabthread.core.events import (
    AttemptEnded,
    CallerGone,
    LoadReported,
    OrderEnded,
    PublishRequested,
    RatingsRead,
    RequestArrived,
    RosterRead,
    Tick,
)
from baobabthread.core.membership.addresses import (
    AddressAnswer,
    AddressSettings,
    answer_addresses,
)
from baobabthread.core.membership.messages import (
    MEMBERSHIP_MESSAGES,
    Hint,
    MemberInfo,
    MemberState,
)
from baobabthread.core.messages import (
    Appended,
    AppendFailed,
    Effects,
    LogRead,
    Received,
    SendFailed,
    Stream,
)
from baobabthread.core.models.choices import Choices
from baobabthread.core.peermessages import (
    BILLING_MESSAGES,
    CONTROL_MESSAGES,
    SESSION_MESSAGES,
)
from baobabthread.core.requests.attempts import Rating
from baobabthread.core.requests.requests import Requests
from baobabthread.core.rollouts.conductors import Conductors
from baobabthread.core.services import ServiceStates
from baobabthread.core.sessions.named import NamedSessions
from baobabthread.core.sessions.sessions import SessionIs
from baobabthread.core.sessions.tokens import SessionKeyRing
from baobabthread.core.sharing import Sharing


class CoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the decisions of an entry depend on."""

    freshness_bound_s: float = 3.0
    address_lifetime_s: float = 5.0
    wall_offset_s: float = 0.0
    """Unix time at monotonic zero, in seconds."""


Handler = Callable[[Any, float], Effects]


class EntryCore:
    """Compose the protocols of one entry; free of I/O, clock and randomness."""

    __slots__ = (
        "_address_settings",
        "_handlers",
        "_members_seen",
        "_rng",
        "_services",
        "_sharing",
        "_wall_offset_s",
        "backends",
        "choices",
        "claims",
        "conductors",
        "control",
        "directory",
        "ledger",
        "named",
        "requests",
    )

    def __init__(
        self,
        *,
        me: MemberInfo,
        seeds: tuple[str, ...],
        keys: SessionKeyRing,
        rng: random.Random,
        now: float,
        settings: CoreSettings,
    ) -> None:
        self._rng = rng
        self._address_settings = AddressSettings(lifetime_s=settings.address_lifetime_s)
        self.control = Control(
            me=me,
            seeds=seeds,
            rng=rng,
            now=now,
            freshness_bound_s=settings.freshness_bound_s,
        )
        self.claims = Claims(
            incarnation=me.incarnation, wall_offset_s=settings.wall_offset_s
        )
        self.ledger = Ledger(
            incarnation=me.incarnation,
            failure_domain=me.failure_domain,
            wall_offset_s=settings.wall_offset_s,
        )
        self._members_seen = -1
        self.backends = BackendTable(failure_domain=me.failure_domain, rng=rng)
        self.conductors = Conductors(incarnation=me.incarnation, rng=rng)
        self._wall_offset_s = settings.wall_offset_s
        self.named = NamedSessions(me=me.name, serving=self.control.membership.alive)
        self.choices = Choices(
            keys=keys,
            wall_offset_s=settings.wall_offset_s,
            conductors=self.conductors,
            named=self.named,
        )
        self.directory = Directory()
        self._services = ServiceStates()
        self._sharing = Sharing(
            me=me.incarnation,
            membership=self.control.membership,
            services=self._services,
            conductors=self.conductors,
            backends=self.backends,
        )
        self.requests = Requests(
            services=self._services,
            backends=self.backends,
            claims=self.claims,
            choices=self.choices,
            ledger=self.ledger,
            named=self.named,
            may_serve=self.control.may_serve,
            is_caught_up=lambda: self.conductors.caught_up,
            wall_offset_s=settings.wall_offset_s,
            locate=self._locate_incarnation,
        )
        self._handlers: dict[type, Handler] = {
            RequestArrived: self.requests.arrive,
            AttemptEnded: self.requests.attempt_ended,
            CallerGone: self.requests.caller_gone,
            Tick: self._tick,
            LogRead: self._read_log,
            Appended: self._note_appended,
            AppendFailed: self._note_append_failed,
            Received: self._receive,
            SendFailed: self._note_send_failed,
            PublishRequested: self.control.publish,
            LoadReported: self._report_load,
            RosterRead: self._read_roster,
            RatingsRead: self._read_ratings,
            OrderEnded: self._note_order,
        }

    def handle(self, event: object, now: float) -> Effects:
        """Take one event and return what to do, in order."""
        effects = self._handlers[type(event)](event, now)
        return self._reconfigure_within(effects, now)

    def answer_addresses(
        self, caller: str, failure_domain: str | None
    ) -> AddressAnswer:
        """Return which entries a caller may connect to."""
        membership = self.control.membership
        return answer_addresses(
            me=membership.me,
            serving=membership.alive(),
            caller=caller,
            failure_domain=failure_domain,
            settings=self._address_settings,
        )

    def leave(self, now: float) -> Effects:
        """Tell the others that this entry leaves; it serves on for a while."""
        return self.control.membership.leave(now)

    def hand_over(self, now: float) -> Effects:
        """Give what others need of this entry's tables to them."""
        me = self.control.membership.me.name
        peers = [m.name for m in self.control.membership.alive() if m.name != me]
        effects = self.requests.absorb_claims(self.claims.hand_over(peers, now), now)
        silent = {
            member.incarnation
            for member in self.control.membership.members()
            if member.state is MemberState.SUSPECT
        }
        bills = self.ledger.hand_over(now, silent=silent)
        effects += self.requests.absorb_bills(bills, now)
        effects += self.named.hand_over()
        effects += self.conductors.release(now)
        return effects

    def _tick(self, event: Tick, now: float) -> Effects:
        del event
        effects = self.control.tick(now)
        effects += self._note_members(now)
        effects += self.requests.absorb_bills(self.ledger.tick(now), now)
        effects += self.requests.absorb_claims(self.claims.expire(now), now)
        effects += self.requests.expire(now)
        effects += self.named.tick()
        effects += self.conductors.tick(
            now, is_in_force_everywhere=self._is_in_force_everywhere
        )
        if self._sharing.tick(now):
            entries = len(self.control.membership.alive())
            self.requests.share(max(1, entries), now)
        return effects

    def _is_in_force_everywhere(self) -> bool:
        control = self.control
        return not control.membership.unconfirmed(control.fold.generation)

    def _note_members(self, now: float) -> Effects:
        """Tell billing and claims who is there whenever that has changed."""
        membership = self.control.membership
        if membership.version == self._members_seen:
            return []
        self._members_seen = membership.version
        peers = []
        for member in membership.members():
            if member.incarnation == membership.me.incarnation:
                continue
            if member.state is MemberState.DEAD:
                self.claims.mark_gone(member.incarnation)
                continue
            self.claims.mark_returned(member.incarnation)
            peers.append(
                Peer(
                    name=member.incarnation,
                    failure_domain=member.failure_domain,
                    is_leaving=member.leaving,
                )
            )
        self._share_capacity()
        self.named.note_members()
        return self.requests.absorb_bills(self.ledger.set_peers(peers, now), now)

    def _read_log(self, event: LogRead, now: float) -> Effects:
        if event.stream is Stream.CONFIGURATION:
            return self.control.on_log_read(event, now)
        if event.stream is Stream.CLAIMS:
            effects = self.claims.on_log_read(event, now)
            return self.requests.absorb_claims(effects, now)
        if event.stream is Stream.BILLS:
            effects = self.ledger.on_log_read(event, now)
            return self.requests.absorb_bills(effects, now)
        return self.conductors.on_log_read(event, now)

    def _note_appended(self, event: Appended, now: float) -> Effects:
        if event.stream is Stream.CONFIGURATION:
            return self.control.on_appended(event)
        if event.stream is Stream.BILLS:
            effects = self.ledger.on_appended(event, now)
            return self.requests.absorb_bills(effects, now)
        return []

    def _note_append_failed(self, event: AppendFailed, now: float) -> Effects:
        if event.stream is Stream.CONFIGURATION:
            return self.control.on_append_failed(event, now)
        if event.stream is Stream.CLAIMS:
            effects = self.claims.on_append_failed(event, now)
            return self.requests.absorb_claims(effects, now)
        if event.stream is Stream.BILLS:
            effects = self.ledger.on_append_failed(event, now)
            return self.requests.absorb_bills(effects, now)
        return []

    def _receive(self, event: Received, now: float) -> Effects:
        message: Any = event.message
        if isinstance(message, MEMBERSHIP_MESSAGES):
            effects = self.control.handle_membership(event.sender, message, now)
            # Failure: a member is back and its keys are still answered for as those of
            # a dead one until the next tick, "may have run" where it knows the answer.
            return effects + self._note_members(now)
        if isinstance(message, CONTROL_MESSAGES):
            return self.control.handle(event.sender, message, now)
        if isinstance(message, BILLING_MESSAGES):
            effects = self.ledger.on_message(event.sender, message, now)
            return self.requests.absorb_bills(effects, now)
        if isinstance(message, SESSION_MESSAGES):
            wall_s = now + self._wall_offset_s
            effects = self.named.handle(event.sender, message, wall_s)
            if isinstance(message, SessionIs):
                effects += self.requests.continue_sessions(now)
            return effects
        if isinstance(message, HandOver):
            effects = self.claims.on_hand_over(message, now)
            return self.requests.absorb_claims(effects, now)
        return []

    def _note_send_failed(self, event: SendFailed, now: float) -> Effects:
        message: Any = event.message
        if isinstance(message, MEMBERSHIP_MESSAGES):
            return self.control.membership.failed(event.to, message, now)
        if isinstance(message, BILLING_MESSAGES):
            effects = self.ledger.on_send_failed(event, now)
            return self.requests.absorb_bills(effects, now)
        return []

    def _report_load(self, event: LoadReported, now: float) -> Effects:
        report = LoadReport(
            running=event.running,
            waiting=event.waiting,
            capacity=event.capacity,
            versions=event.versions,
            tokens_per_s=event.tokens_per_s,
        )
        self.backends.report(event.backend, report, now)
        self.conductors.on_load(event, now)
        return []

    def _note_order(self, event: OrderEnded, now: float) -> Effects:
        del now
        self.conductors.on_order_ended(event)
        return []

    def _read_roster(self, event: RosterRead, now: float) -> Effects:
        hints = [
            Hint(name=item.name, peer_address=item.address, leaving=item.leaving)
            for item in event.entries
        ]
        self.control.membership.hint(hints, now)
        for item in event.backends:
            if item.leaving:
                self.backends.leaving(item.name, now)
            else:
                self.backends.returned(item.name, now)
        return []

    def _read_ratings(self, event: RatingsRead, now: float) -> Effects:
        for rated in event.ratings:
            self.conductors.count_rating(rated)
            service = self._services.get(rated.service)
            if service is None:
                continue
            rating = Rating(
                request_id=rated.request_id,
                call=rated.call,
                version=rated.version,
                good=rated.good,
            )
            self.choices.learn(service, rating, now)
        return []

    def _reconfigure_within(self, effects: Effects, now: float) -> Effects:
        kept: Effects = []
        for effect in effects:
            if isinstance(effect, ConfigurationChanged):
                self._reconfigure(effect.configuration, now)
            else:
                kept.append(effect)
        return kept

    def _reconfigure(self, configuration: Configuration, now: float) -> None:
        self.directory = Directory(configuration=configuration)
        self._services.reconfigure(configuration, self._rng)
        self.backends.rebuild(configuration, now)
        self.conductors.reconfigure(configuration, now)
        self.requests.reconfigure(self.directory)
        self._share_capacity()

    def _share_capacity(self) -> None:
        """Divide what the backend servers can run among the live entries."""
        entries = len(self.control.membership.alive())
        self._services.share_capacity(self.directory.configuration, entries)

    def _locate_incarnation(self, incarnation: str) -> str | None:
        for member in self.control.membership.members():
            if member.incarnation == incarnation:
                return member.name
        return None
