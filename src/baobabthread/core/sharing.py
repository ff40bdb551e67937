"""What entries tell each other in passing: use, ratings, evidence on versions."""

from __future__ import annotations

import abc
import base64
import contextlib
from typing import ClassVar

import msgspec

from baobabthread.core.backends.balance import BackendTable
from baobabthread.core.configuration.configuration import ServiceKind
from baobabthread.core.limits.fairness import UsageDigest
from baobabthread.core.membership.membership import Membership
from baobabthread.core.membership.messages import GossipPayload
from baobabthread.core.registry import Registry
from baobabthread.core.rollouts.conductors import Conductors
from baobabthread.core.services import ServiceState

PERIOD_S = 1.0
MAX_MERGED = 20_000


class Topic(abc.ABC):
    """Describe one kind of value that is shared for each service."""

    name: ClassVar[str]
    model_only: ClassVar[bool] = False
    period_s: ClassVar[float]
    """How often a new value is spread; large values less often."""

    @staticmethod
    @abc.abstractmethod
    def pack(sharing: Sharing, service: ServiceState, now: float) -> object:
        """Return this entry's value."""

    @staticmethod
    @abc.abstractmethod
    def merge(
        sharing: Sharing, service: ServiceState, payload: GossipPayload, now: float
    ) -> None:
        """Take in another entry's value."""


class Sharing:
    """Publish this entry's values and merge those of others, once a second."""

    __slots__ = (
        "_due",
        "_me",
        "_membership",
        "_merged",
        "_next",
        "_packed",
        "_sequence",
        "_services",
        "backends",
        "conductors",
    )

    def __init__(
        self,
        *,
        me: str,
        membership: Membership,
        services: dict[str, ServiceState],
        conductors: Conductors,
        backends: BackendTable,
    ) -> None:
        self._me = me
        self._membership = membership
        self._services = services
        self.conductors = conductors
        self.backends = backends
        self._next = 0.0
        self._sequence = 0
        self._merged: dict[tuple[str, str], int] = {}
        self._packed: dict[str, bytes] = {}
        self._due: dict[str, float] = {}

    def tick(self, now: float) -> bool:
        """Publish and merge when it is time; tell whether it was."""
        if now < self._next:
            return False
        self._next = now + PERIOD_S
        for service in self._services.values():
            for name in TOPICS:
                topic = TOPICS.get(name)
                is_model = service.service.kind is ServiceKind.MODEL
                if topic.model_only and not is_model:
                    continue
                self._publish(topic, service, now)
                self._merge(topic, service, now)
        return True

    def _publish(self, topic: type[Topic], service: ServiceState, now: float) -> None:
        key = f"{topic.name}/{service.name}"
        if now < self._due.get(key, 0.0):
            return
        self._due[key] = now + topic.period_s
        body = msgspec.json.encode(topic.pack(self, service, now))
        if self._packed.get(key) == body:
            return
        self._packed[key] = body
        self._sequence += 1
        self._membership.publish(
            GossipPayload(
                topic=key,
                origin=self._me,
                sequence=self._sequence,
                body=msgspec.Raw(body),
            )
        )

    def _merge(self, topic: type[Topic], service: ServiceState, now: float) -> None:
        key = f"{topic.name}/{service.name}"
        for payload in self._membership.gossip.topic(key):
            seen = (key, payload.origin)
            if payload.origin == self._me:
                continue
            if self._merged.get(seen, -1) >= payload.sequence:
                continue
            if len(self._merged) > MAX_MERGED:
                # Entries that were replaced are named here for ever; taking a value in
                # a second time changes nothing.
                self._merged.clear()
            self._merged[seen] = payload.sequence
            # An entry of another program version may send what can't be read here. Its
            # value is left out; raising would stop all that this tick still has to do.
            with contextlib.suppress(msgspec.MsgspecError, ValueError):
                topic.merge(self, service, payload, now)


TOPICS: Registry[type[Topic]] = Registry(what="topic")


@TOPICS.register("usage")
class Usage(Topic):
    """Share what each client account uses."""

    name = "usage"
    period_s = 1.0

    @staticmethod
    def pack(sharing: Sharing, service: ServiceState, now: float) -> object:
        """Return this entry's value."""
        return service.queue.usage(now)

    @staticmethod
    def merge(
        sharing: Sharing, service: ServiceState, payload: GossipPayload, now: float
    ) -> None:
        """Take in another entry's value."""
        digest = msgspec.json.decode(payload.body, type=UsageDigest)
        service.queue.merge(payload.origin, digest, now)


@TOPICS.register("cascade")
class Cascade(Topic):
    """Share the counts that the cascade is calibrated by."""

    name = "cascade"
    model_only = True
    period_s = 10.0

    @staticmethod
    def pack(sharing: Sharing, service: ServiceState, now: float) -> object:
        """Return this entry's value."""
        return base64.b64encode(service.rule.evidence()).decode()

    @staticmethod
    def merge(
        sharing: Sharing, service: ServiceState, payload: GossipPayload, now: float
    ) -> None:
        """Take in another entry's value."""
        evidence = base64.b64decode(msgspec.json.decode(payload.body, type=str))
        if evidence:
            service.rule.merge(origin=payload.origin, evidence=evidence, now=now)


@TOPICS.register("detection")
class Detection(Topic):
    """Share the counts that detectors bet on."""

    name = "detection"
    model_only = True
    period_s = 3.0

    @staticmethod
    def pack(sharing: Sharing, service: ServiceState, now: float) -> object:
        """Return this entry's value."""
        return sharing.conductors.pack_evidence(service.name)

    @staticmethod
    def merge(
        sharing: Sharing, service: ServiceState, payload: GossipPayload, now: float
    ) -> None:
        """Take in another entry's value."""
        text = msgspec.json.decode(payload.body, type=str)
        sharing.conductors.merge_evidence(
            service.name, origin=payload.origin, text=text, now=now
        )


@TOPICS.register("leaving")
class Leaving(Topic):
    """Share which backend servers were seen to leave."""

    name = "leaving"
    period_s = 0.5

    @staticmethod
    def pack(sharing: Sharing, service: ServiceState, now: float) -> object:
        """Return this entry's value."""
        return sharing.backends.witnessed(service.name, now)

    @staticmethod
    def merge(
        sharing: Sharing, service: ServiceState, payload: GossipPayload, now: float
    ) -> None:
        """Take in another entry's value."""
        for name in msgspec.json.decode(payload.body, type=list[str]):
            sharing.backends.leaving(name, now)
