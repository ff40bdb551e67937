"""Exchange between instances about features that may crash backend servers.

Innocent requests are answered by other servers, mostly through other instances. So an
owner of crashes asks all instances for answers to requests with the features that it
suspects; they report what they have seen, or the first such answer that follows.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection, Iterable, Sequence

import msgspec

from baobabthread.instance.clock import now
from baobabthread.routing.crashes import KNOWN_S, SuspectedFeature
from baobabthread.routing.fingerprints import is_part

WATCH_S = 120.0
"""Time for which answers with a suspected feature are reported after a query."""
MAX_WATCHED = 1024
"""Features that are watched, those of the newest queries."""
MAX_QUERIED = 32
"""Features in one query: some 1 KB, sent to each instance."""
REPLY_DELAY_S = 0.1
"""Time after a query in which replies arrive."""
NEVER = -1e9
"""When a feature was answered that never was."""
SAME_CRASH_S = 0.1
"""Difference between two estimates of the time of one crash."""


class SuspectsQuery(
    msgspec.Struct, frozen=True, kw_only=True, tag="quarantine.suspects"
):
    """Ask for answers to requests with these features."""

    service: str
    """Service whose owners of crashes want to know."""
    features: list[str]
    first_crash_s: list[float]
    """Time since the first crash under each of them: only responses that began later
    count."""
    repeated: list[bool]
    """Whether requests with each of them were sent on from one crash to the next."""


class FeaturesAnswered(
    msgspec.Struct, frozen=True, kw_only=True, tag="quarantine.answered"
):
    """Report answers to requests with suspected features, also of before."""

    began_s: dict[str, float]
    """Time since the newest of these responses began, by feature."""


SUSPICION_MESSAGES = (SuspectsQuery, FeaturesAnswered)

SendToOwners = Callable[[str, msgspec.Struct], None]
"""Send a message to the owners of a service's crashes."""
FindAnswered = Callable[[str], float]
"""Return when the newest answered response with a feature began here, or `NEVER`."""


class Watched(msgspec.Struct, frozen=True, kw_only=True):
    """A feature that may crash servers, for all that this instance knows."""

    service: str
    first_crash_at: float
    is_repeated: bool
    queried_at: float

    def covers(self, suspected: SuspectedFeature) -> bool:
        """Return whether a query on a suspected feature would tell nothing new."""
        is_same = suspected.first_crash_at - self.first_crash_at < SAME_CRASH_S
        return is_same and self.is_repeated >= suspected.is_repeated


class Suspicion(enum.Enum):
    """What the replies to a query have shown so far."""

    UNKNOWN = "unknown"
    """No query was sent, or its replies may still arrive."""
    CONFIRMED = "confirmed"


class SuspectWatch:
    """Watch for answers to requests with suspected features."""

    __slots__ = ("_send_to_owners", "_watched", "find_answered")

    def __init__(self, *, send_to_owners: SendToOwners) -> None:
        self._send_to_owners = send_to_owners
        self._watched: dict[str, Watched] = {}
        self.find_answered: FindAnswered = lambda feature: NEVER

    def __len__(self) -> int:
        return len(self._watched)

    def select_unasked(
        self, suspected: Iterable[SuspectedFeature]
    ) -> list[SuspectedFeature]:
        """Return the features on which another query would tell something new."""
        found = []
        for each in suspected:
            watched = self._watched.get(each.feature)
            if watched is None or not watched.covers(each):
                found.append(each)
        return found[:MAX_QUERIED]

    def judge(self, features: Collection[str]) -> Suspicion:
        """Return what is known of features after the replies to a query."""
        asked = [self._watched.get(feature) for feature in features]
        until = now() - REPLY_DELAY_S
        if all(each is not None and each.queried_at <= until for each in asked):
            return Suspicion.CONFIRMED
        return Suspicion.UNKNOWN

    def is_suspected(self, parts: Sequence[str]) -> bool:
        """Return whether a prompt has a part under which server after server crashed.

        Such a part was not answered here since the first of these crashes.
        """
        return any(
            part in self._watched and self._watched[part].is_repeated for part in parts
        )

    def handle_query(self, query: SuspectsQuery) -> None:
        """Report answers with these features, and watch for the next ones."""
        timestamp = now()
        asked = zip(query.features, query.first_crash_s, query.repeated, strict=False)
        answered = {}
        for feature, first_crash_s, is_repeated in asked:
            first_crash_at = timestamp - first_crash_s
            began_at = self.find_answered(feature)
            if began_at > first_crash_at - KNOWN_S:
                answered[feature] = timestamp - began_at
            if began_at > first_crash_at:
                continue
            # Another entry would take the place of an older one in the order.
            self._watched.pop(feature, None)
            self._watched[feature] = Watched(
                service=query.service,
                first_crash_at=first_crash_at,
                is_repeated=is_repeated,
                queried_at=timestamp,
            )
        while len(self._watched) > MAX_WATCHED:
            del self._watched[next(iter(self._watched))]
        if answered:
            self._send_to_owners(query.service, FeaturesAnswered(began_s=answered))

    def record_answered(self, features: Iterable[str], began_at: float) -> None:
        """Report an answered request to the owners that asked for its features."""
        if not self._watched:
            return
        answered: dict[str, dict[str, float]] = {}
        for feature in features:
            watched = self._watched.get(feature)
            if watched is not None and began_at > watched.first_crash_at:
                del self._watched[feature]
                of_service = answered.setdefault(watched.service, {})
                of_service[feature] = now() - began_at
        for service, began_s in answered.items():
            self._send_to_owners(service, FeaturesAnswered(began_s=began_s))

    def expire(self) -> None:
        """Forget features for which no answer was seen for a while."""
        until = now() - WATCH_S
        for feature in [f for f, w in self._watched.items() if w.queried_at < until]:
            del self._watched[feature]

    def count_parts(self) -> int:
        """Return the number of prompt parts that are watched."""
        return sum(is_part(feature) for feature in self._watched)
