"""Servers for attempts, assigned by the owners of their groups where many choose."""

from __future__ import annotations

import random
from collections.abc import Collection, Container

import msgspec

from baobabthread.core.configuration.configuration import Priority
from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.servers.backends import BackendLink, Backends
from baobabthread.instance.servers.dispatch import DispatchCoordinator
from baobabthread.instance.servers.dispatchmessages import DispatchAsk, DispatchReply
from baobabthread.instance.servers.dispatchrequests import Assignment, Refusal
from baobabthread.instance.servers.prompts import list_parts
from baobabthread.routing.mechanisms import DisabledMechanisms, Mechanism
from baobabthread.routing.queues import classify
from baobabthread.routing.servers.groups import choose_group, is_crowded

ENDED_MARGIN_S = 0.5
"""Time after its deadline by which an attempt has certainly ended."""

LOGGED_WAIT_MS = 20
"""Wait for an owner's answer from which on it stands in a request's trail."""


class Assignments:
    """Ask the owners of groups of servers which server an attempt goes to."""

    __slots__ = (
        "_backends",
        "_crowded",
        "_disabled",
        "_dispatch",
        "_estimates",
        "_failure_domain",
        "_rng",
    )

    def __init__(
        self,
        *,
        backends: Backends,
        dispatch: DispatchCoordinator,
        estimates: Estimates,
        failure_domain: str,
        disabled: DisabledMechanisms,
        rng: random.Random,
    ) -> None:
        self._backends = backends
        self._dispatch = dispatch
        self._estimates = estimates
        self._failure_domain = failure_domain
        self._disabled = disabled
        self._rng = rng
        self._crowded: set[str] = set()
        """Services whose requests owners assigned when last asked."""

    def is_used(self, context: RequestContext) -> bool:
        """Return whether owners assign the requests to the service of a request."""
        if Mechanism.ASSIGNMENTS in self._disabled:
            return False
        if context.route.is_stream and Mechanism.ENGINE_ASSIGNMENTS in self._disabled:
            return False
        service = context.service
        servers = self._backends.count_usable(service)
        if servers <= 1 or not is_crowded(
            self._dispatch.instance_count,
            servers,
            was_crowded=service in self._crowded,
        ):
            self._crowded.discard(service)
            return False
        self._crowded.add(service)
        return True

    async def select(
        self,
        context: RequestContext,
        *,
        version: str | None,
        exclude: Container[str],
        prefix_key: int | None,
    ) -> BackendLink | None:
        """Return the server that an owner assigns, or None if it gives no answer.

        A refusal by the owner is noted in the request's context.
        """
        usable = self._list_usable(context, version, exclude)
        groups = self._backends.find_groups(context.service)
        group = choose_group(groups, usable, prefix_key, self._rng)
        if group is None:
            return None
        ask = self._make_ask(context, group, version, groups[group], usable)
        left_s = context.deadline - now()
        asked_at = now()
        # Busy canaries are no reason to wait: others can serve the request.
        patience_s = 0.0 if context.is_canary else left_s - ask.work_s
        found = await self._dispatch.acquire(ask, patience_s=patience_s)
        waited_ms = round((now() - asked_at) * 1000)
        if waited_ms >= LOGGED_WAIT_MS:
            context.has_waited = True
            context.timeline.append(f"{group}:waited {waited_ms} ms")
        match found:
            case Refusal():
                context.timeline.append(f"{group}:refused")
                context.refusal = found
                return None
            case Assignment():
                # What may be used can have changed while the owner was asked.
                usable = self._list_usable(context, version, exclude)
                return self._accept(context, found, usable)
        return None

    def _list_usable(
        self, context: RequestContext, version: str | None, exclude: Container[str]
    ) -> frozenset[str]:
        return self._backends.list_assignable(
            context.service,
            version=version,
            exclude=exclude,
            allowed_regions=context.allowed_regions,
            may_probe=context.route.may_retry and context.attempts == 0,
        )

    def _accept(
        self, context: RequestContext, assignment: Assignment, usable: Collection[str]
    ) -> BackendLink | None:
        link = self._backends.find_link(assignment.server)
        if link is None or assignment.server not in usable:
            assignment.drop()
            return None
        context.assignment = assignment
        context.kept_tokens = (
            assignment.kept_tokens if context.route.is_stream else None
        )
        return link

    async def estimate(
        self,
        context: RequestContext,
        *,
        model: str,
        version: str | None,
        prefix_key: int | None,
    ) -> DispatchReply | None:
        """Return what an attempt with another model would meet; None if unknown."""
        usable = self._backends.list_assignable(
            context.service,
            version=version,
            exclude=context.excluded,
            allowed_regions=context.allowed_regions,
            may_probe=False,
        )
        groups = self._backends.find_groups(context.service)
        group = choose_group(groups, usable, prefix_key, self._rng)
        if group is None:
            return None
        ask = msgspec.structs.replace(
            self._make_ask(context, group, version, groups[group], usable),
            reading_s=round(self._estimates.reading_s(context, model, 0), 4),
            parts=list_parts(context, model),
            is_estimate=True,
        )
        return await self._dispatch.estimate(ask)

    def report_chosen(self, context: RequestContext, link: BackendLink) -> None:
        """Report the server of an attempt that was chosen without an owner."""
        if context.assignment is not None or not self.is_used(context):
            return
        group = self._backends.find_group(context.service, link.name)
        if group is not None:
            ask = self._make_ask(context, group, None, (), ())
            context.assignment = self._dispatch.report_chosen(ask, link.name)

    def _make_ask(
        self,
        context: RequestContext,
        group: str,
        version: str | None,
        members: Collection[str],
        usable: Collection[str],
    ) -> DispatchAsk:
        only = tuple(name for name in members if name in usable)
        excluded = tuple(name for name in members if name not in usable)
        has_few = len(only) < len(excluded)
        ask = DispatchAsk(
            group=group,
            number=self._dispatch.next_number(),
            work_s=round(self._estimates.work_ms(context) / 1000, 3),
            lasts_s=round(context.deadline - now() + ENDED_MARGIN_S, 2),
            priority=list(Priority).index(classify(context.priority)),
            account=context.account.name if context.account is not None else "",
            failure_domain=self._failure_domain,
            version=version,
            excluded=() if has_few else excluded,
            only=only if has_few else (),
        )
        if not context.route.is_stream:
            return ask
        envelope = context.request.envelope
        return msgspec.structs.replace(
            ask,
            reading_s=round(self._estimates.reading_s(context, kept_tokens=0), 4),
            prompt_tokens=envelope.prompt_tokens,
            memory_tokens=envelope.prompt_tokens + envelope.expected_tokens,
            parts=list_parts(context, context.model_name),
        )
