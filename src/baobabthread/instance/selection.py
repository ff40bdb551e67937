"""Where an attempt goes: which version may run it, and which backend server does."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import xxhash

from baobabthread.core.backends.loads import Load, Part
from baobabthread.instance.backends import BackendLink, Backends, hash_prefix
from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.placement import PlacedPrompt, Placement
from baobabthread.routing.mechanisms import DisabledMechanisms, Mechanism
from baobabthread.routing.reasons import VersionReason
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.versions import VersionPlan

NO_VERSION = ""
"""Stands for a version that no backend server runs."""
PART_KEY_BITS = 48
"""Bits of a part's key: two of a hundred thousand parts share one once in 50,000 days,
which costs a wrong guess of the reading."""


class WaitEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what an attempt with another model would meet at the best engine."""

    wait_s: float
    reading_s: float


class Selection:
    """Choose the version and the backend server for each attempt."""

    __slots__ = ("_backends", "_disabled", "_estimates", "_placement", "_replica")

    def __init__(
        self,
        *,
        replica: StateReplica,
        backends: Backends,
        estimates: Estimates,
        placement: Placement,
        disabled: DisabledMechanisms,
    ) -> None:
        self._replica = replica
        self._backends = backends
        self._estimates = estimates
        self._placement = placement
        self._disabled = disabled

    async def select(
        self, flight: RequestContext, plan: VersionPlan
    ) -> BackendLink | None:
        """Return the backend server for the next attempt, if one is left."""
        link = await self._select(flight, plan)
        if link is None and flight.is_canary and not flight.is_sessionless:
            # A session stays on the new version, also beyond the servers on trial.
            flight.may_use_non_canaries = True
            link = await self._select(flight, plan)
        if link is None and flight.is_canary:
            # The few servers on trial are no reason to refuse what others can take.
            flight.may_use_new_version = False
            link = await self._select(flight, plan)
            flight.version_reason = VersionReason.NO_SERVER
        return link

    async def _select(
        self, flight: RequestContext, plan: VersionPlan
    ) -> BackendLink | None:
        flight.kept_tokens = None
        flight.version = self.choose_version(flight, plan)
        flight.is_canary = bool(flight.on_new_version) and plan.is_canary_phase
        flight.non_canaries = self._find_non_canaries(flight, plan)
        names = self._list_candidates(flight)
        loads = await self._query_loads(flight, flight.model_name, names)
        link = self._pick(flight, flight.excluded, loads, names, version=flight.version)
        if link is None and names:
            # Cold ones among them may have been used up while their loads were asked.
            link = self._pick(flight, flight.excluded, {}, [], version=flight.version)
        if link is not None and link.name in loads:
            flight.kept_tokens = loads[link.name].kept_tokens
        return link

    def explain_unavailable(self, flight: RequestContext) -> str:
        """Return why no backend server is left for a request."""
        return self._backends.explain_unavailable(
            flight.service, flight.allowed_regions
        )

    def has_alternative(self, flight: RequestContext, link: BackendLink) -> bool:
        """Tell whether another backend server could take the request."""
        excluded = flight.excluded | {link.name}
        # What fails on trial is tried on the version in force.
        version = None if flight.is_canary else flight.version
        return self._pick(flight, excluded, {}, [], version=version) is not None

    async def estimate_wait(
        self, flight: RequestContext, model: str
    ) -> WaitEstimate | None:
        """Return what a model's answer would wait for; nothing if nobody knows."""
        loads = await self._query_loads(flight, model, self._list_candidates(flight))
        prospects = [
            WaitEstimate(
                wait_s=load.wait_s,
                reading_s=self._estimates.reading_s(flight, model, load.kept_tokens),
            )
            for load in loads.values()
        ]
        return min(prospects, key=lambda p: p.wait_s + p.reading_s, default=None)

    def place(self, flight: RequestContext, link: BackendLink) -> PlacedPrompt | None:
        """Tell of the prompt that an engine is to read; nothing at a plain service."""
        if not flight.route.is_stream or Mechanism.LOAD_QUERIES in self._disabled:
            return None
        return self._placement.place(
            link.name,
            reading_s=self._estimates.reading_s(flight),
            lasts_s=flight.deadline - now(),
            parts=_list_parts(flight, flight.model_name),
            memory_tokens=self._find_memory_tokens(flight.service),
        )

    def _find_memory_tokens(self, service: str) -> int:
        table = self._replica.table
        plan = table.services.get(service) if table is not None else None
        return plan.memory_tokens if plan is not None else 0

    def _list_candidates(self, flight: RequestContext) -> list[str]:
        """Return the engines to choose among; none where all are looked at alike."""
        if not flight.route.is_stream or Mechanism.LOAD_QUERIES in self._disabled:
            return []
        return self._backends.list_candidates(
            flight.service,
            version=flight.version,
            prefix_key=self._hash_prefix(flight),
            exclude=flight.excluded | flight.non_canaries,
            allowed_regions=flight.allowed_regions,
        )

    def _find_non_canaries(
        self, flight: RequestContext, plan: VersionPlan
    ) -> frozenset[str]:
        """Return the servers of a version on trial that take no part in it."""
        if (
            not flight.is_canary
            or flight.version is None
            or flight.may_use_non_canaries
        ):
            return frozenset()
        bursts = plan.bursts
        canaries = (
            bursts.burst_servers if flight.is_sessionless else bursts.session_servers
        )
        return self._backends.list_non_canaries(
            flight.service, flight.version, canaries
        )

    async def _query_loads(
        self, flight: RequestContext, model: str | None, engines: list[str]
    ) -> Mapping[str, Load]:
        if not engines:
            return {}
        return await self._placement.query_loads(engines, _list_parts(flight, model))

    def _pick(
        self,
        flight: RequestContext,
        excluded: set[str],
        loads: Mapping[str, Load],
        candidates: list[str],
        *,
        version: str | None,
    ) -> BackendLink | None:
        return self._backends.pick(
            flight.service,
            version=version,
            prefix_key=self._hash_prefix(flight),
            exclude=excluded | flight.non_canaries,
            allowed_regions=flight.allowed_regions,
            may_probe=flight.route.may_retry and flight.attempts == 0,
            shared_s=self._estimates.shared_s(flight),
            shared_tokens=flight.request.envelope.shared_tokens,
            loads=loads,
            candidates=candidates,
        )

    def _hash_prefix(self, flight: RequestContext) -> int | None:
        key = flight.prefix
        if key is None or Mechanism.PROMPT_AFFINITY in self._disabled:
            return None
        return hash_prefix(key)

    def choose_version(self, flight: RequestContext, plan: VersionPlan) -> str | None:
        """Return the version that must run the request, or None for any."""
        flight.release_exposure()
        flight.exposure = plan.exposure
        listed = self._backends.versions(flight.service)
        order = plan.order
        flight.version_reason = VersionReason.NO_ROLLOUT
        if order is None:
            # A stream that begins now may break after an order has come: resumed on the
            # new version, it would be joined from two, and lost where that one is bad.
            flight.on_new_version = False
            return plan.lineage.find_base(listed) if len(listed) > 1 else None
        wanted = flight.may_use_new_version and _wants_new_version(flight, plan)
        # What began on the old version goes on there while it lives.
        may_change = flight.on_new_version is None or flight.runs == 0 or plan.is_final
        if may_change or not wanted:
            flight.on_new_version = wanted
        flight.version_reason = _explain_version(flight, plan, wanted=wanted)
        if flight.on_new_version and order.target not in listed:
            flight.version_reason = VersionReason.NO_SERVER
        elif flight.on_new_version and _reserve_exposure(flight, plan):
            return order.target
        flight.on_new_version = False
        base = plan.lineage.find_base(listed)
        if base is None and order.target in listed and not plan.is_reverted:
            return None
        # Where the old version is evacuated or gone and the new one on trial, requests
        # are refused: all of them on an unproven version would be worse.
        return base or plan.lineage.base or NO_VERSION


def _wants_new_version(flight: RequestContext, plan: VersionPlan) -> bool:
    """Tell whether a request is one for the new version, if servers are there."""
    moment = now()
    if flight.is_sessionless:
        return plan.choose_without_session(flight.session, moment)
    if plan.is_running:
        return flight.session_on_new_version and plan.may_stay(moment)
    return not plan.is_reverted


def _explain_version(
    flight: RequestContext, plan: VersionPlan, *, wanted: bool
) -> VersionReason:
    """Return why a request is to go to a version, before servers are looked at."""
    if wanted:
        if not flight.on_new_version:
            return VersionReason.STARTED_ON_OLD
        is_over = plan.is_final or not plan.is_running
        return VersionReason.PROMOTED if is_over else VersionReason.CANARY
    if plan.is_reverted or plan.analysis.alarm is not None:
        return VersionReason.ROLLED_BACK
    if flight.session_on_new_version:
        return VersionReason.NO_PERMIT
    if not plan.may_have_moved(flight.session):
        return VersionReason.NOT_CANARY
    return VersionReason.KEPT


def _reserve_exposure(flight: RequestContext, plan: VersionPlan) -> bool:
    """Take an attempt at the new version out of what it may get."""
    session = None if flight.is_sessionless else flight.session
    flight.has_reserved_exposure = plan.try_expose(session, now())
    return flight.has_reserved_exposure


def _list_parts(flight: RequestContext, model: str | None) -> tuple[Part, ...]:
    """Return the shared parts of a prompt as a model keeps them.

    What is kept of a part holds for one model and only behind the same parts.
    """
    if not flight.route.has_prompts:
        return ()
    parts = []
    path = model or ""
    for part in flight.request.envelope.prompt_parts[:-1]:
        path = f"{path}/{part.id}"
        digest = xxhash.xxh3_64_intdigest(path.encode(errors="surrogatepass"))
        parts.append(Part(key=digest >> (64 - PART_KEY_BITS), tokens=part.tokens))
    return tuple(parts)
