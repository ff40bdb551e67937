"""Selection of the version and the backend server for an attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import msgspec

from baobabthread.core.backends.loads import Load
from baobabthread.core.configuration.configuration import Priority
from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.errorresponses import RETRY_AFTER_S, RetryTime
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.servers.assignments import Assignments
from baobabthread.instance.servers.backends import BackendLink, Backends, hash_prefix
from baobabthread.instance.servers.limits import LimitCoordinator
from baobabthread.instance.servers.placement import PlacedPrompt, Placement
from baobabthread.instance.servers.places import (
    PLACE_PATIENCE_S,
    PlaceCoordinator,
)
from baobabthread.instance.servers.prompts import list_parts
from baobabthread.routing.mechanisms import DisabledMechanisms, Mechanism
from baobabthread.routing.queues import classify
from baobabthread.routing.reasons import VersionReason
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.versions import VersionPlan

PATIENCE_FRACTION = 0.5
"""Fraction of the time left until the latency objective for which a request may wait
for a limited server; the rest is for its response."""
PLACE_POLL_INTERVAL_S = 0.03
"""Interval at which a request that waits for a place at brittle servers asks again."""
RETURN_STAGGER_S = 0.05
"""Time by which requests of a lower priority stay behind when a rest has ended."""
MAX_DENIALS = 3
"""Limited servers that are asked for one attempt before only others are used."""
ENDED_MARGIN_S = 1.0
"""Time after its deadline by which an attempt has certainly ended."""
NO_VERSION = ""
"""A version that no backend server runs."""


class WaitEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Expected times of an attempt with another model at the best engine."""

    wait_s: float
    reading_s: float


class Selection:
    """Select the version and the backend server for each attempt."""

    __slots__ = (
        "_assignments",
        "_backends",
        "_disabled",
        "_estimates",
        "_limits",
        "_placement",
        "_places",
        "_replica",
    )

    def __init__(
        self,
        *,
        replica: StateReplica,
        backends: Backends,
        estimates: Estimates,
        placement: Placement,
        limits: LimitCoordinator,
        places: PlaceCoordinator,
        assignments: Assignments,
        disabled: DisabledMechanisms,
    ) -> None:
        self._assignments = assignments
        self._replica = replica
        self._backends = backends
        self._estimates = estimates
        self._placement = placement
        self._limits = limits
        self._places = places
        self._disabled = disabled

    async def select(
        self, context: RequestContext, plan: VersionPlan
    ) -> BackendLink | None:
        """Return the backend server for the next attempt, if one is available."""
        context.denied_by = None
        context.refusal = None
        context.has_waited = False
        link = await self._select_permitted(context, plan)
        if context.refusal is not None and not context.is_canary:
            return None
        context.refusal = None
        if link is None and context.is_canary and not context.is_sessionless:
            # A session stays on the new version, if necessary beyond the canaries.
            context.may_use_non_canaries = True
            link = await self._select_permitted(context, plan)
        if link is None and context.is_canary and not self._must_wait(context):
            # Busy canaries are no reason to reject a request that others can serve.
            context.may_use_new_version = False
            context.refusal = None
            link = await self._select_permitted(context, plan)
            context.version_reason = VersionReason.NO_SERVER
        if context.refusal is not None:
            return None
        if link is None and self.find_rest_left(context) is not None:
            return await self._wait_for_rest(context, plan)
        if link is None and self._places.is_brittle(context.service):
            return await self._wait_for_place(context, plan)
        return link or await self._wait_for_permit(context)

    def find_rest_left(self, context: RequestContext) -> float | None:
        """Return the time until a server may be used if all of them rest, else None."""
        return self._backends.find_rest_left(
            context.service,
            version=context.version,
            exclude=context.non_canaries,
            allowed_regions=context.allowed_regions,
        )

    def may_wait_for_rest(self, context: RequestContext) -> bool:
        """Return whether no server rests, or one has rested in time for a request."""
        left_s = self.find_rest_left(context)
        return left_s is None or left_s <= self._find_rest_patience(context)

    async def _wait_for_rest(
        self, context: RequestContext, plan: VersionPlan
    ) -> BackendLink | None:
        """Return a server that has rested, if that is soon."""
        until = now() + self._find_rest_patience(context)
        rank = list(Priority).index(classify(context.priority))
        while (left_s := self.find_rest_left(context)) is not None:
            if now() + left_s > until:
                return None
            await asyncio.sleep(left_s + rank * RETURN_STAGGER_S)
        return await self._select_permitted(context, plan)

    def _find_rest_patience(self, context: RequestContext) -> float:
        """Return how long a request may wait for a server to have rested, in seconds.

        A response that has begun can't be rejected any more, only be completed late.
        """
        if context.reply.has_begun:
            return context.deadline - now()
        return self._find_patience(context)

    async def _wait_for_place(
        self, context: RequestContext, plan: VersionPlan
    ) -> BackendLink | None:
        """Return a brittle server once it has a place, if that is soon."""
        until = now() + self._find_patience(context)
        while now() < until:
            await asyncio.sleep(PLACE_POLL_INTERVAL_S)
            link = await self._select_permitted(
                context, plan, place_patience_s=min(PLACE_PATIENCE_S, until - now())
            )
            if link is not None:
                return link
        full = self._pick_limited(context)
        context.denied_by = full.name if full is not None else None
        return None

    async def _select_permitted(
        self,
        context: RequestContext,
        plan: VersionPlan,
        *,
        place_patience_s: float = 0.0,
    ) -> BackendLink | None:
        """Return a backend server whose own limit, if any, permits the attempt."""
        for _ in range(MAX_DENIALS):
            link = await self._select(context, plan)
            if link is None or await self._acquire(
                context, link, patience_s=0.0, place_patience_s=place_patience_s
            ):
                return link
        self._limits.pause()
        link = await self._select(context, plan)
        is_brittle = self._places.is_brittle(context.service)
        return link if link is None or not is_brittle else None

    async def _wait_for_permit(self, context: RequestContext) -> BackendLink | None:
        """Return a limited server once it can take the attempt, if that is soon."""
        link = self._pick_limited(context)
        if link is None:
            return None
        patience_s = self._find_patience(context)
        if not await self._acquire(context, link, patience_s=patience_s):
            context.denied_by = link.name
            return None
        if context.permit is not None:
            await asyncio.sleep(context.permit.wait_s)
        return link

    def _find_patience(self, context: RequestContext) -> float:
        """Return how long a request may wait for a server, in seconds."""
        objective_left_s = context.started_at + context.route.objective_s - now()
        return max(0.0, objective_left_s * PATIENCE_FRACTION)

    def _must_wait(self, context: RequestContext) -> bool:
        """Return whether a session must wait for limited or resting servers."""
        if not context.session_on_new_version:
            return False
        return (
            self._pick_limited(context) is not None
            or self.find_rest_left(context) is not None
        )

    def _pick_limited(self, context: RequestContext) -> BackendLink | None:
        is_brittle = self._places.is_brittle(context.service)
        if not self._limits.limited and not is_brittle:
            return None
        return self._pick(
            context, context.excluded, {}, [], version=context.version, may_wait=True
        )

    async def _acquire(
        self,
        context: RequestContext,
        link: BackendLink,
        *,
        patience_s: float,
        place_patience_s: float = 0.0,
    ) -> bool:
        """Acquire what the server's state requires; return whether it is given."""
        is_given = await self._acquire_permit(
            context, link, patience_s=patience_s
        ) and await self._acquire_place(context, link, patience_s=place_patience_s)
        if not is_given and (assignment := context.take_assignment()) is not None:
            assignment.drop()
        return is_given

    async def _acquire_place(
        self, context: RequestContext, link: BackendLink, *, patience_s: float
    ) -> bool:
        """Acquire a place at a brittle server."""
        if not self._places.is_brittle(context.service):
            return True
        context.place = await self._places.acquire(
            link.name,
            service=context.service,
            capacity=link.record.capacity,
            priority=classify(context.priority),
            lasts_s=context.deadline - now() + ENDED_MARGIN_S,
            patience_s=patience_s,
        )
        if context.place is not None:
            return True
        context.timeline.append(f"{link.record.id}:full")
        if context.permit is not None:
            context.permit.settle(responded=False)
            context.permit = None
        return False

    async def _acquire_permit(
        self, context: RequestContext, link: BackendLink, *, patience_s: float
    ) -> bool:
        """Acquire the permission that a limited server needs."""
        if self._limits.stated(link.name) is None:
            return True
        context.permit = await self._limits.acquire(
            link.name,
            priority=classify(context.priority),
            patience_s=patience_s,
            lasts_s=context.deadline - now() + ENDED_MARGIN_S,
        )
        if context.permit is None:
            context.timeline.append(f"{link.record.id}:limited")
        return context.permit is not None

    async def _select(
        self, context: RequestContext, plan: VersionPlan
    ) -> BackendLink | None:
        context.kept_tokens = None
        context.version = self.choose_version(context, plan)
        context.is_canary = bool(context.on_new_version) and plan.is_canary_phase
        context.non_canaries = self._find_non_canaries(context, plan)
        # Places at brittle servers are granted by owners of their own.
        is_brittle = self._places.is_brittle(context.service)
        if not is_brittle and self._assignments.is_used(context):
            link = await self._select_assigned(context, plan)
            if link is not None:
                return link
            if context.refusal is not None and not self._must_be_served(context):
                return None
            context.refusal = None
        names = self._list_candidates(context)
        loads = await self._query_loads(context, context.model_name, names)
        link = self._pick(
            context, context.excluded, loads, names, version=context.version
        )
        if link is None and names:
            # Cold candidates may have used up their rate while loads were queried.
            link = self._pick(
                context, context.excluded, {}, [], version=context.version
            )
        if link is not None and link.name in loads:
            context.kept_tokens = loads[link.name].kept_tokens
        return link

    async def _select_assigned(
        self, context: RequestContext, plan: VersionPlan
    ) -> BackendLink | None:
        """Return the server that the owner of a group assigns."""
        link = await self._ask_owner(context)
        if not context.has_waited:
            return link
        # A roll-out may have ended, or begun, while the request waited for its turn.
        waited_for = context.version
        context.version = self.choose_version(context, plan)
        if context.version == waited_for:
            return link
        context.refusal = None
        if (assignment := context.take_assignment()) is not None:
            assignment.drop()
        context.is_canary = bool(context.on_new_version) and plan.is_canary_phase
        context.non_canaries = self._find_non_canaries(context, plan)
        return None

    def _must_be_served(self, context: RequestContext) -> bool:
        """Return whether a request that an owner refuses is sent all the same.

        A response that has begun would break off, and a request that may have run
        can't be refused any more.
        """
        return context.reply.has_begun or context.runs > 0

    async def _ask_owner(self, context: RequestContext) -> BackendLink | None:
        return await self._assignments.select(
            context,
            version=context.version,
            exclude=context.excluded | context.non_canaries,
            prefix_key=self._hash_prefix(context),
        )

    def find_retry_time(self, context: RequestContext) -> RetryTime | None:
        """Return when a request may be sent again; None if that is not known."""
        if context.refusal is not None:
            after_s = context.refusal.retry_after_s
            return RetryTime(after_s=after_s, spread_s=after_s)
        if context.denied_by is not None:
            after_s = self._limits.find_retry_after(
                context.denied_by, classify(context.priority)
            )
            return RetryTime(after_s=after_s, spread_s=after_s)
        left_s = self.find_rest_left(context)
        if left_s is None:
            return None
        return RetryTime(after_s=left_s, spread_s=RETRY_AFTER_S)

    def explain_unavailable(self, context: RequestContext) -> str:
        """Return the reason why no backend server is available for a request."""
        if context.refusal is not None:
            return "backends_full"
        if context.denied_by is not None:
            is_limited = self._limits.stated(context.denied_by) is not None
            return "backends_limited" if is_limited else "backends_full"
        if self.find_rest_left(context) is not None:
            return "backends_resting"
        return self._backends.explain_unavailable(
            context.service, context.allowed_regions
        )

    def has_alternative(self, context: RequestContext, link: BackendLink) -> bool:
        """Return whether another backend server could take the request."""
        # A limited server may deny the request when it is asked, a brittle one may
        # lack a place.
        if self._places.is_brittle(context.service):
            return False
        excluded = context.excluded | {link.name} | self._limits.limited.keys()
        # What fails on a canary is retried on the current version.
        version = None if context.is_canary else context.version
        return self._pick(context, excluded, {}, [], version=version) is not None

    async def estimate_wait(
        self, context: RequestContext, model: str
    ) -> WaitEstimate | None:
        """Return a model's expected times at the best engine; None if unknown."""
        if self._assignments.is_used(context):
            return await self._estimate_assigned_wait(context, model)
        loads = await self._query_loads(context, model, self._list_candidates(context))
        estimates = [
            WaitEstimate(
                wait_s=load.wait_s,
                reading_s=self._estimates.reading_s(context, model, load.kept_tokens),
            )
            for load in loads.values()
        ]
        return min(
            estimates,
            key=lambda estimate: estimate.wait_s + estimate.reading_s,
            default=None,
        )

    async def _estimate_assigned_wait(
        self, context: RequestContext, model: str
    ) -> WaitEstimate | None:
        reply = await self._assignments.estimate(
            context,
            model=model,
            version=context.version,
            prefix_key=self._hash_prefix(context),
        )
        if reply is None or not reply.server:
            return None
        return WaitEstimate(
            wait_s=reply.wait_s,
            reading_s=self._estimates.reading_s(context, model, reply.kept_tokens),
        )

    def place(self, context: RequestContext, link: BackendLink) -> PlacedPrompt | None:
        """Report the prompt that an engine is to read; None at a plain service."""
        if not context.route.is_stream or Mechanism.LOAD_QUERIES in self._disabled:
            return None
        if context.assignment is not None:
            return None
        return self._placement.place(
            link.name,
            reading_s=self._estimates.reading_s(context),
            lasts_s=context.deadline - now(),
            parts=list_parts(context, context.model_name),
            memory_tokens=self._find_memory_tokens(context.service),
        )

    def _find_memory_tokens(self, service: str) -> int:
        table = self._replica.table
        configuration = table.services.get(service) if table is not None else None
        return configuration.memory_tokens if configuration is not None else 0

    def _list_candidates(self, context: RequestContext) -> list[str]:
        """Return the engines whose load matters; empty if loads are not used."""
        if not context.route.is_stream or Mechanism.LOAD_QUERIES in self._disabled:
            return []
        return self._backends.list_candidates(
            context.service,
            version=context.version,
            prefix_key=self._hash_prefix(context),
            exclude=context.excluded | context.non_canaries,
            allowed_regions=context.allowed_regions,
        )

    def _find_non_canaries(
        self, context: RequestContext, plan: VersionPlan
    ) -> frozenset[str]:
        """Return the servers of a canary version that aren't canaries."""
        if (
            not context.is_canary
            or context.version is None
            or context.may_use_non_canaries
        ):
            return frozenset()
        bursts = plan.bursts
        canaries = (
            bursts.burst_servers if context.is_sessionless else bursts.session_servers
        )
        return self._backends.list_non_canaries(
            context.service, context.version, canaries
        )

    async def _query_loads(
        self, context: RequestContext, model: str | None, engines: list[str]
    ) -> Mapping[str, Load]:
        if not engines:
            return {}
        return await self._placement.query_loads(engines, list_parts(context, model))

    def _pick(
        self,
        context: RequestContext,
        excluded: set[str],
        loads: Mapping[str, Load],
        candidates: list[str],
        *,
        version: str | None,
        may_wait: bool = False,
    ) -> BackendLink | None:
        return self._backends.pick(
            context.service,
            version=version,
            prefix_key=self._hash_prefix(context),
            exclude=excluded | context.non_canaries,
            allowed_regions=context.allowed_regions,
            may_probe=context.route.may_retry and context.attempts == 0,
            shared_s=self._estimates.shared_s(context),
            shared_tokens=context.request.envelope.shared_tokens,
            loads=loads,
            candidates=candidates,
            may_wait=may_wait,
        )

    def _hash_prefix(self, context: RequestContext) -> int | None:
        key = context.prefix
        if key is None or Mechanism.PROMPT_AFFINITY in self._disabled:
            return None
        return hash_prefix(key)

    def choose_version(self, context: RequestContext, plan: VersionPlan) -> str | None:
        """Return the version that must run the request, or None for any."""
        context.release_exposure()
        context.exposure = plan.exposure
        versions = self._backends.versions(context.service)
        order = plan.order
        context.version_reason = VersionReason.NO_ROLLOUT
        if order is None:
            # A stream that starts now may break after a roll-out was ordered. Resumed
            # on the new version, it would mix the output of two versions, and it would
            # be lost if the new one is bad.
            context.on_new_version = False
            return plan.lineage.find_base(versions) if len(versions) > 1 else None
        _discard_earlier_decision(context, plan)
        wanted = context.may_use_new_version and _wants_new_version(context, plan)
        # A request that started on the old version stays there while it has servers.
        may_change = (
            context.on_new_version is None or context.runs == 0 or plan.is_final
        )
        if may_change or not wanted:
            context.on_new_version = wanted
        context.version_reason = _explain_version(context, plan, wanted=wanted)
        if context.on_new_version and order.target not in versions:
            context.version_reason = VersionReason.NO_SERVER
        elif context.on_new_version and _reserve_exposure(context, plan):
            return order.target
        context.on_new_version = False
        base = plan.lineage.find_base(versions)
        if base is None and order.target in versions and not plan.is_reverted:
            # Others that are still listed were rolled back.
            return order.target
        # If the old version has no servers, or all of them are evacuated, requests are
        # rejected while the new one is a canary: running all of them on an unproven
        # version would be worse.
        return base or plan.lineage.base or NO_VERSION


def _discard_earlier_decision(context: RequestContext, plan: VersionPlan) -> None:
    """Discard what was decided under an order that was replaced.

    The version that was new then is the old one now, or was rolled back.
    """
    if context.decided_under not in (None, plan.analysis):
        context.session_on_new_version = False
        context.on_new_version = False if context.runs else None
    context.decided_under = plan.analysis


def _wants_new_version(context: RequestContext, plan: VersionPlan) -> bool:
    """Return whether a request should use the new version if it has servers."""
    timestamp = now()
    if context.is_sessionless:
        return plan.choose_without_session(context.session, timestamp)
    if plan.is_running:
        return context.session_on_new_version and plan.may_stay(timestamp)
    return not plan.is_reverted


def _explain_version(
    context: RequestContext, plan: VersionPlan, *, wanted: bool
) -> VersionReason:
    """Return why a request should use a version, regardless of its servers."""
    if wanted:
        if not context.on_new_version:
            return VersionReason.STARTED_ON_OLD
        is_promoted = plan.is_final or not plan.is_running
        return VersionReason.PROMOTED if is_promoted else VersionReason.CANARY
    if plan.is_reverted or plan.analysis.alarm is not None:
        return VersionReason.ROLLED_BACK
    if context.session_on_new_version:
        return VersionReason.NO_PERMIT
    if not plan.may_have_moved(context.session):
        return VersionReason.NOT_CANARY
    return VersionReason.KEPT


def _reserve_exposure(context: RequestContext, plan: VersionPlan) -> bool:
    """Reserve an attempt at the new version in the exposure budget."""
    session = None if context.is_sessionless else context.session
    context.has_reserved_exposure = plan.try_expose(session, now())
    return context.has_reserved_exposure
