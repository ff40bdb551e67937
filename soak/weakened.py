"""Run an instance whose safeguard is counted, and taken out where that is asked for."""

from __future__ import annotations

import operator
import sys
from collections.abc import Callable
from typing import Any

from baobabthread.core.backends.backends import Server
from baobabthread.core.positions import BackendsPosition, OperatorsPosition, Position
from baobabthread.core.registry import Registry
from baobabthread.instance import (
    attempts,
    context,
    crashes,
    errorresponses,
    events,
    replicasync,
)
from baobabthread.instance.servers import connections, departures, restrictions
from baobabthread.instance.wire import ResponseMetadata
from baobabthread.logs import log_event
from baobabthread.platform import __main__ as program
from baobabthread.platform import headers
from baobabthread.routing import (
    configuration,
    replica,
)
from baobabthread.routing import crashes as analysis
from baobabthread.routing.servers import (
    occupancy,
    paths,
    places,
    rests,
    serverlimits,
    warmup,
)

DECIDED_EVENT = "safeguard_decided"
WATCH = "watch"
WEAKEN = "weaken"


class Safeguard:
    """Count how often a safeguard is asked and decides; overrule it or not."""

    __slots__ = ("_asked", "_decided", "_name", "is_overruled")

    def __init__(self, *, name: str, is_overruled: bool) -> None:
        self._name = name
        self.is_overruled = is_overruled
        self._asked = 0
        self._decided = 0

    def stands(self, decides: bool) -> bool:
        """Count a question; tell whether the safeguard decides it and is obeyed."""
        self._asked += 1
        if not decides:
            return False
        self._decided += 1
        is_power_of_two = not self._decided & (self._decided - 1)
        if is_power_of_two:
            log_event(
                DECIDED_EVENT,
                safeguard=self._name,
                asked=self._asked,
                decided=self._decided,
                overruled=self.is_overruled,
            )
        return not self.is_overruled


Wrap = Callable[[Safeguard], None]
WEAKENED: Registry[Wrap] = Registry(what="weakened instance")


@WEAKENED.register("refuse what ran")
def refuse_what_ran(safeguard: Safeguard) -> None:
    """Promise that a request has not run though it may have."""
    ask = errorresponses.ErrorResponses._has_not_run

    def has_not_run(
        self: errorresponses.ErrorResponses, request: context.RequestContext
    ) -> bool:
        return not safeguard.stands(not ask(self, request))

    errorresponses.ErrorResponses._has_not_run = has_not_run  # type: ignore


@WEAKENED.register("repeat everything")
def repeat_everything(safeguard: Safeguard) -> None:
    """Take every route for one that may be repeated."""
    ask = configuration.Route.may_retry.fget  # type: ignore

    def may_retry(self: configuration.Route) -> bool:
        return not safeguard.stands(not ask(self))

    configuration.Route.may_retry = property(may_retry)  # type: ignore


@WEAKENED.register("serve on stale knowledge")
def serve_stale(safeguard: Safeguard) -> None:
    """Honour keys however old the knowledge of them is."""
    ask = replica.StateReplica.is_fresh

    def is_fresh(self: replica.StateReplica, now: float) -> bool:
        return not safeguard.stands(not ask(self, now))

    replica.StateReplica.is_fresh = is_fresh  # type: ignore


@WEAKENED.register("ignore eras")
def ignore_eras(safeguard: Safeguard) -> None:
    """Tell who is behind by offsets alone, neither by eras nor by versions."""
    if safeguard.is_overruled:
        replicasync.ReplicaSync.compare_version = lambda *_: None  # type: ignore
        replicasync.ReplicaSync._compare_digest = lambda *_: None  # type: ignore
    for kind in (Position, OperatorsPosition, BackendsPosition):
        for name in ("__lt__", "__le__", "__gt__", "__ge__"):
            setattr(kind, name, _compare_offsets(safeguard, kind, name))


def _compare_offsets(
    safeguard: Safeguard, kind: type[Position], name: str
) -> Callable[[Position, Position], bool]:
    ask = getattr(kind, name)
    compare = getattr(operator, name)

    def compare_offsets(self: Position, other: Position) -> bool:
        decision = bool(ask(self, other))
        by_offset = bool(compare(self.offset, other.offset))
        return decision if safeguard.stands(decision != by_offset) else by_offset

    return compare_offsets


@WEAKENED.register("ask no peer at the start")
def ask_no_peer(safeguard: Safeguard) -> None:
    """Rely on the store alone, whatever newer configuration peers have."""
    ask = replicasync.ReplicaSync.compare_version

    def compare_version(
        self: replicasync.ReplicaSync,
        peer: str,
        version: int,
        operators_end: OperatorsPosition,
    ) -> None:
        is_behind = version > self._replica.version > 0
        if not is_behind or safeguard.stands(True):
            ask(self, peer, version, operators_end)

    replicasync.ReplicaSync.compare_version = compare_version  # type: ignore
    replicasync.ReplicaSync._compare_digest = lambda *_: None  # type: ignore


@WEAKENED.register("settle missing servers by time")
def settle_by_time(safeguard: Safeguard) -> None:
    """Remove servers that were missing after a while, whoever saw them return."""
    ask = replica.StateReplica.must_list_backends

    def must_list(self: replica.StateReplica, now: float) -> bool:
        if not ask(self, now) or safeguard.stands(True):
            return ask(self, now)
        for id in [id for id, at in self._missing_until.items() if at <= now]:
            self._remove(id)
        return False

    replica.StateReplica.must_list_backends = must_list  # type: ignore


@WEAKENED.register("pass parts of events")
def pass_parts(safeguard: Safeguard) -> None:
    """Pass bytes of a stream on as they come, also what was passed before."""
    cut = events.EventSplitter.feed

    def feed(self: events.EventSplitter, data: bytes) -> events.CompleteEvents:
        whole = cut(self, data)
        if whole.data == data or safeguard.stands(whole.data != data):
            return whole
        self._buffer = b""
        return events.CompleteEvents(data=data, last_id=None)

    events.EventSplitter.feed = feed  # type: ignore


@WEAKENED.register("take any answer")
def take_any_answer(safeguard: Safeguard) -> None:
    """Take a success without a signature, or of another request, for the answer."""
    ask = attempts.Attempt._validate

    def check(self: attempts.Attempt, marks: ResponseMetadata, status: int) -> None:
        try:
            ask(self, marks, status)
        except connections.IncompleteResponseError:
            if safeguard.stands(True):
                raise

    attempts.Attempt._validate = check  # type: ignore


@WEAKENED.register("pass the key on")
def pass_key_on(safeguard: Safeguard) -> None:
    """Leave the caller's key and account in what a backend server gets."""
    ours = frozenset(headers._RESERVED_HEADERS)
    encode = headers.PlatformWireFormat.encode_request

    def encode_request(
        self: Any, method: str, target: str, fields: Any, *rest: Any
    ) -> bytes:
        safeguard.stands(any(name.lower() in ours for name, _ in fields))
        return encode(self, method, target, fields, *rest)

    if safeguard.is_overruled:
        headers._RESERVED_HEADERS.clear()
    headers.PlatformWireFormat.encode_request = encode_request  # type: ignore


@WEAKENED.register("forget crashes")
def forget_crashes(safeguard: Safeguard) -> None:
    """Take each try of a request that crashed servers for a new one."""
    tell = crashes.CrashDetector._report_termination

    def tell_nobody(self: crashes.CrashDetector, server: Any) -> None:
        if safeguard.stands(True):
            tell(self, server)

    crashes.CrashDetector._report_termination = tell_nobody  # type: ignore


@WEAKENED.register("know crashes by the body")
def know_crashes_by_the_body(safeguard: Safeguard) -> None:
    """Know what crashed servers by whole requests alone."""
    ask = context.fingerprint_parts

    def fingerprint_parts(parts: Any) -> tuple[str, ...]:
        found = ask(parts)
        return found if safeguard.stands(bool(found)) else ()

    context.fingerprint_parts = fingerprint_parts


@WEAKENED.register("clear by any end")
def clear_by_any_end(safeguard: Safeguard) -> None:
    """Take the end of a connection for the end of its response."""
    ask = connections.Response.ends_with_connection.fget  # type: ignore

    def ends_with_connection(self: connections.Response) -> bool:
        return safeguard.stands(ask(self))

    connections.Response.ends_with_connection = property(ends_with_connection)  # type: ignore


@WEAKENED.register("clear by earlier answers")
def clear_by_earlier_answers(safeguard: Safeguard) -> None:
    """Take every answer for one that began after the crashes."""
    ask = analysis.CrashAnalysis.was_cleared

    def was_cleared(self: analysis.CrashAnalysis, feature: str, since: float) -> bool:
        was_answered = feature in self._answered_at
        is_later = ask(self, feature, since)
        return is_later or (not safeguard.stands(was_answered) and was_answered)

    analysis.CrashAnalysis.was_cleared = was_cleared  # type: ignore


@WEAKENED.register("forget evacuations")
def forget_evacuations(safeguard: Safeguard) -> None:
    """Take no failure domain for evacuated."""
    ask = restrictions.Restrictions.is_evacuated

    def is_evacuated(self: restrictions.Restrictions, record: Any) -> bool:
        return safeguard.stands(ask(self, record))

    restrictions.Restrictions.is_evacuated = is_evacuated  # type: ignore


@WEAKENED.register("forget the cold")
def forget_the_cold(safeguard: Safeguard) -> None:
    """Take every backend server for warm."""
    ask = warmup.ColdServers.left_s

    def left_s(self: warmup.ColdServers, name: str, now: float) -> float:
        left = ask(self, name, now)
        return left if safeguard.stands(left > 0.0) else 0.0

    warmup.ColdServers.left_s = left_s  # type: ignore


@WEAKENED.register("learn departures from records")
def learn_departures_from_records(safeguard: Safeguard) -> None:
    """Read past what servers say in their responses of leaving."""
    record = departures.DepartureGossip.record_response

    def record_response(self: departures.DepartureGossip, name: str) -> None:
        if safeguard.stands(True):
            record(self, name)

    departures.DepartureGossip.record_response = record_response  # type: ignore


@WEAKENED.register("forget rests")
def forget_rests(safeguard: Safeguard) -> None:
    """Read past the rest that servers ask for."""
    ask = rests.Rests.record

    def record(self: rests.Rests, name: str, rest_s: float, now: float) -> bool:
        return safeguard.stands(True) and ask(self, name, rest_s, now)

    rests.Rests.record = record  # type: ignore


@WEAKENED.register("forget rejections")
def forget_rejections(safeguard: Safeguard) -> None:
    """Choose servers that reject requests as if they had accepted them."""
    ask = Server.record_rejection

    def record_rejection(self: Server, now: float) -> float:
        return ask(self, now) if safeguard.stands(True) else now

    Server.record_rejection = record_rejection  # type: ignore


@WEAKENED.register("forget limits")
def forget_limits(safeguard: Safeguard) -> None:
    """Take every backend server for one without a limit of its own."""
    ask = serverlimits.StatedLimits.find

    def find(self: serverlimits.StatedLimits, name: str) -> float | None:
        limit = ask(self, name)
        return limit if safeguard.stands(limit is not None) else None

    serverlimits.StatedLimits.find = find  # type: ignore


@WEAKENED.register("forget brittleness")
def forget_brittleness(safeguard: Safeguard) -> None:
    """Take no service for brittle."""
    ask = places.BrittleServices.find

    def find(self: places.BrittleServices, service: str) -> float | None:
        rejections = ask(self, service)
        return rejections if safeguard.stands(rejections is not None) else None

    places.BrittleServices.find = find  # type: ignore


@WEAKENED.register("forget assignments")
def forget_assignments(safeguard: Safeguard) -> None:
    """Assign requests as if servers ran none of those assigned before."""
    ask = occupancy.ServerLoad.has_place

    def has_place(self: occupancy.ServerLoad, extra: int, now: float) -> bool:
        return ask(self, extra, now) or not safeguard.stands(True)

    occupancy.ServerLoad.has_place = has_place  # type: ignore


@WEAKENED.register("forget framing")
def forget_framing(safeguard: Safeguard) -> None:
    """Read on whatever a server sends besides the body of its response."""
    end = connections.Connection._end_response

    def end_response(self: connections.Connection, reason: str) -> None:
        if safeguard.stands(True):
            end(self, reason)

    connections.Connection._end_response = end_response  # type: ignore


@WEAKENED.register("keep to own paths")
def keep_to_own_paths(safeguard: Safeguard) -> None:
    """Ask no peer for a connection to a backend server."""
    ask = paths.RelayTable.choose

    def choose(
        self: paths.RelayTable,
        server: str,
        failure_domain: str,
        now: float,
        *,
        may_carry: paths.MayCarry = paths.carry_anywhere,
    ) -> list[paths.Relay]:
        relays = ask(self, server, failure_domain, now, may_carry=may_carry)
        return relays if safeguard.stands(bool(relays)) else []

    paths.RelayTable.choose = choose  # type: ignore


@WEAKENED.register("forget homes")
def forget_homes(safeguard: Safeguard) -> None:
    """Let every request be served anywhere."""
    ask = context.find_allowed_regions

    def find_allowed_regions(route: Any, account: Any) -> Any:
        homes = ask(route, account)
        return homes if safeguard.stands(homes is not None) else None

    context.find_allowed_regions = find_allowed_regions


def main() -> int:
    """Watch or take out the safeguard that the first two arguments name, and serve."""
    mode, name = sys.argv.pop(1), sys.argv.pop(1)
    WEAKENED.get(name)(Safeguard(name=name, is_overruled=mode == WEAKEN))
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
