"""The promises to callers and backend servers, each checked against a history."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

import msgspec

from baobabthread.core.registry import Registry
from soak.history import Call, History, Homes, Run
from soak.partitions import PARTITION

WINDOW_S = 10.0
"""Length of the window in which repeats are counted."""
NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""
WHOLE_BODIES = (b"answer of", b"whole body")
"""What whole answers of the backend servers hold."""
GENTLE = ("term", "configuration", "hup")
"""Planned work, in which nothing may be cut."""
AROUND_S = 3.0
"""Time around a request in which a fault may excuse what happens to it."""
LEAST_SERVED = 0.9
"""Part of the requests that are answered once everything is well again."""


CONTACT_S = 3.0
"""Time after which a request that crashed three servers is known to all in touch."""
TOLD_S = 1.0
"""Time after a server's answer names a limit in which its instance may not know it."""
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5.0
"""What a limited server may get in a window: a multiple of its limit, and some more."""
ENOUGH_CRASHES = 3
MOST_LATER = 3
"""Requests of that kind that may still reach servers after it."""
FALLS_EXTRA = 2.0
FALLS_FRACTION = 0.1
"""Falls of brittle servers that are allowed, and part of their number."""
LEAST_OF_OTHERS = 2.0 / 3.0
"""Part of what others serve that an instance without paths serves at least."""
UNSERVED_EXTRA = 10.0
UNSERVED_FRACTION = 1.0 / 50.0
"""Requests that may fail there for all that, and part of all requests."""
OUT_OF_TOUCH = ("term", "kill", "pause", "store")
"""Faults of which an instance may know nothing new for a while."""


class Breach(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one broken promise."""

    promise: str
    detail: str


Check = Callable[[History], Iterator[str]]
PROMISES: Registry[Check] = Registry(what="promise")


def check_all(history: History) -> list[Breach]:
    """Return every broken promise of a run."""
    return [
        Breach(promise=name, detail=detail)
        for name in PROMISES
        for detail in PROMISES.get(name)(history)
    ]


@PROMISES.register("whole")
def check_whole(history: History) -> Iterator[str]:
    """Find successes that are not signed, not whole or not the request's own."""
    for call in history.calls:
        if not 200 <= call.status < 300:
            continue
        if call.whole and not (call.signed and call.own_id):
            yield f"{call.id}: {call.status} without signature or with another id"
        if call.whole and not call.kind.is_stream and not _is_known(call.body):
            yield f"{call.id}: body {call.body[:40]!r}"


def _is_known(body: bytes) -> bool:
    return any(known in body for known in WHOLE_BODIES)


@PROMISES.register("in order")
def check_order(history: History) -> Iterator[str]:
    """Find streams with events out of order, doubled or missing at their end."""
    for call in history.calls:
        if not call.kind.is_stream or call.status != 200:
            continue
        expected = list(range(1, len(call.event_ids) + 1))
        if call.event_ids != expected:
            yield f"{call.id}: events {call.event_ids}"
        elif call.stray:
            yield f"{call.id}: {call.stray!r} between events"
        elif call.whole and len(expected) != history.last_event:
            yield f"{call.id}: complete after event {len(expected)}"


@PROMISES.register("once")
def check_once(history: History) -> Iterator[str]:
    """Find requests that ran twice though they must not repeat."""
    kinds = {call.id: call.kind for call in history.calls}
    for id, runs in history.runs_by_id().items():
        executed = [run.backend for run in runs if run.executed]
        if len(executed) > 1 and id in kinds and not kinds[id].may_repeat:
            yield f"{id} ({kinds[id]}): ran at {executed}"


@PROMISES.register("true refusals")
def check_refusals(history: History) -> Iterator[str]:
    """Find statuses that promise that a request never ran though it did."""
    runs = history.runs_by_id()
    for call in history.calls:
        if call.status in NOT_RUN and any(
            run.executed for run in runs.get(call.id, ())
        ):
            yield f"{call.id} ({call.kind}): {call.status}, but it ran"


@PROMISES.register("own account")
def check_account(history: History) -> Iterator[str]:
    """Find requests under another account than their key's, or with the key itself."""
    keys = {call.id: call.key for call in history.calls}
    for run in history.runs:
        if run.id not in keys:
            yield f"{run.id}: nobody sent it"
            continue
        expected = history.account_of.get(keys[run.id], "")
        if run.leaked or (run.account != expected and run.account):
            yield f"{run.id}: account {run.account!r} instead of {expected!r}"


@PROMISES.register("revoked keys")
def check_revoked(history: History) -> Iterator[str]:
    """Find what ran for a key long after it was taken away."""
    runs = history.runs_by_id()
    for call in history.calls:
        taken_at = history.revoked.get(call.key)
        if taken_at is None or call.kind.value == "open":
            continue
        late = call.sent_at - taken_at
        if late > history.revocation_s and runs.get(call.id):
            yield f"{call.id}: ran {late:.2f} s after its key was taken away"


@PROMISES.register("repeats")
def check_repeats(history: History) -> Iterator[str]:
    """Find windows with more repeats than the common budget allows."""
    service_of = {run.id: run.service for run in history.runs}
    for service in sorted(set(service_of.values())):
        arrivals = [run for run in history.runs if run.service == service]
        seen: set[str] = set()
        again = []
        for run in sorted(arrivals, key=lambda run: run.at):
            if run.id in seen:
                again.append(run.at)
            seen.add(run.id)
        sent = [c.sent_at for c in history.calls if service_of.get(c.id) == service]
        for start in again:
            end = start + WINDOW_S
            count = sum(start <= at < end for at in again)
            windows = (start, start - WINDOW_S, start - WINDOW_S / 2)
            asked = max(sum(w <= at < w + WINDOW_S for at in sent) for w in windows)
            allowed = history.retry_ratio * asked + history.retry_extra
            if count > allowed:
                yield f"{service}: {count} repeats, {allowed:.0f} allowed"
                break


@PROMISES.register("crashing requests")
def check_crashing(history: History) -> Iterator[str]:
    """Find requests that still reach servers long after they crashed three."""
    runs = history.runs_by_id()
    marks = sorted({call.mark for call in history.calls if call.mark})
    for mark in marks:
        calls = [call for call in history.calls if call.mark == mark]
        crashed: dict[str, float] = {}
        for run in sorted((r for c in calls for r in runs.get(c.id, ())), key=_order):
            if run.executed:
                crashed.setdefault(run.backend, run.at)
        if len(crashed) < ENOUGH_CRASHES:
            continue
        known_at = list(crashed.values())[ENOUGH_CRASHES - 1] + CONTACT_S
        late = [c.id for c in calls if _reached(history, c, runs, known_at)]
        if len(late) > MOST_LATER:
            yield f"{mark}: {len(crashed)} servers crashed, sent later: {late}"


def _order(run: Run) -> float:
    return run.at


def _reached(
    history: History, call: Call, runs: dict[str, list[Run]], since: float
) -> bool:
    if not any(run.executed and run.at > since for run in runs.get(call.id, ())):
        return False
    start, end = call.sent_at - CONTACT_S, call.sent_at
    faults = history.disturbed(call.instance, start, end)
    return not any(name.startswith(OUT_OF_TOUCH) for name in faults)


@PROMISES.register("evacuated domains")
def check_evacuated(history: History) -> Iterator[str]:
    """Find requests that reached an evacuated failure domain, from who could know."""
    calls = {call.id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.id)
        if call is None or is_out_of_touch(history, call, run.at):
            continue
        for each in history.evacuated:
            if each.failure_domain != run.failure_domain:
                continue
            late = run.at - each.from_s
            if late > history.evacuation_s and run.at < each.to_s:
                yield f"{run.id}: reached {run.failure_domain} {late:.2f} s late"


@PROMISES.register("cold servers")
def check_cold(history: History) -> Iterator[str]:
    """Find cold servers that got more in a second than they bear, from anybody."""
    by_server: dict[str, list[float]] = {}
    for run in history.runs:
        if run.is_cold:
            by_server.setdefault(run.backend, []).append(run.at)
    for server, times in by_server.items():
        most = max(sum(t <= u < t + 1.0 for u in times) for t in times)
        if most > history.most_cold:
            yield f"{server}: {most} requests within a second while cold"


@PROMISES.register("limited servers")
def check_limited(history: History) -> Iterator[str]:
    """Find servers that got more than their limit from instances that were told."""
    instances = {call.id: call.instance for call in history.calls}
    by_server: dict[str, list[Run]] = {}
    for run in history.runs:
        if run.limit is not None and run.id in instances:
            by_server.setdefault(run.backend, []).append(run)
    for server, runs in by_server.items():
        told: dict[int, float] = {}
        times: list[float] = []
        for run in runs:
            instance = instances[run.id]
            told_at = told.setdefault(instance, run.at)
            begun = history.disturbed(instance, told_at, run.at)
            if any(name in ("term", "kill", "pause") for name in begun):
                continue
            if run.at >= max(told_at + TOLD_S, runs[0].at + CONTACT_S):
                times.append(run.at)
        limit = runs[0].limit or 0.0
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit + LIMIT_EXTRA
        most = max(
            (sum(t <= u < t + LIMIT_WINDOW_S for u in times) for t in times), default=0
        )
        if most > allowed:
            yield f"{server}: {most} requests in a window, {allowed:g} allowed"


@PROMISES.register("brittle servers")
def check_brittle(history: History) -> Iterator[str]:
    """Find services whose servers fell over more often than they may."""
    for each in history.brittle:
        allowed = FALLS_EXTRA + FALLS_FRACTION * each.servers
        if len(each.falls) > allowed:
            yield f"{each.service}: {len(each.falls)} falls, {allowed:g} allowed"


@PROMISES.register("partitions")
def check_partitions(history: History) -> Iterator[str]:
    """Find instances without paths to servers that served far less than the others."""
    cuts = [f for f in history.faults if f.name.startswith(PARTITION)]
    for cut in cuts:
        start, end = cut.began_at + CONTACT_S, cut.ended_at
        calls = [
            call
            for call in history.calls
            if start < call.sent_at and call.ended_at < end and call.ended_at > 0.0
        ]
        calls = [c for c in calls if not _may_fail_anywhere(history, c)]
        there = [c for c in calls if c.instance == cut.instance]
        whole = {c.instance for c in calls} - {
            f.instance for f in cuts if f.began_at < end and f.ended_at > cut.began_at
        }
        others = [c for c in calls if c.instance in whole]
        failed = len(there) - _count_served(there)
        if failed <= UNSERVED_EXTRA + UNSERVED_FRACTION * len(calls) or not others:
            continue
        if _count_served(there) / len(there) < (
            LEAST_OF_OTHERS * _count_served(others) / len(others)
        ):
            yield (
                f"i{cut.instance} served {_count_served(there)} of {len(there)} "
                f"while partitioned, others {_count_served(others)} of {len(others)}"
            )


def _count_served(calls: list[Call]) -> int:
    return sum(200 <= call.status < 300 and call.whole for call in calls)


def _may_fail_anywhere(history: History, call: Call) -> bool:
    """Return whether a request fails whatever the paths are, or may lack a peer."""
    if call.mark or call.part or call.key in history.revoked:
        return True
    return any(
        fault.name.startswith(OUT_OF_TOUCH)
        and fault.began_at <= call.ended_at
        and fault.ended_at >= call.sent_at - CONTACT_S
        for fault in history.faults
    )


@PROMISES.register("homes")
def check_homes(history: History) -> Iterator[str]:
    """Find requests that were served in an area in which no configuration allows it."""
    calls = {call.id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.id)
        if call is None or is_out_of_touch(history, call, run.at):
            continue
        allowed = _list_allowed(history, call, run.at)
        area = history.areas.get(run.failure_domain, "")
        if allowed and not any(not areas or area in areas for areas in allowed):
            yield f"{run.id} ({call.kind}): served in {area!r}, homes {allowed}"


def _list_allowed(history: History, call: Call, at: float) -> list[tuple[str, ...]]:
    """Return a kind's homes by each configuration that may be in force."""
    anywhere = Homes(kind=call.kind, from_s=-math.inf, areas=())
    words = [anywhere, *(each for each in history.homes if each.kind is call.kind)]
    found = []
    for number, word in enumerate(words):
        following = words[number + 1].from_s if number + 1 < len(words) else math.inf
        if word.from_s <= at and following + history.apply_s > call.sent_at:
            found.append(word.areas)
    return found


def is_out_of_touch(history: History, call: Call, at: float) -> bool:
    """Return whether an instance may know nothing new when a request runs."""
    faults = history.disturbed(call.instance, call.sent_at - CONTACT_S, at)
    return any(name.startswith(OUT_OF_TOUCH) for name in faults)


@PROMISES.register("not cut")
def check_not_cut(history: History) -> Iterator[str]:
    """Find requests that planned work cut though a sound server ran them."""
    runs = history.runs_by_id()
    for call in history.calls:
        if call.status and call.whole:
            continue
        if not any(run.executed and run.sound for run in runs.get(call.id, ())):
            continue
        if _is_excused(history, call) or _is_timed_out(history, call):
            continue
        yield f"{call.id} ({call.kind}) at i{call.instance}: cut, status {call.status}"


def _is_timed_out(history: History, call: Call) -> bool:
    # Its route's limit ends a request, whatever else goes on.
    return call.ended_at - call.sent_at >= history.time_limit_s


def _is_excused(history: History, call: Call) -> bool:
    start, end = call.sent_at - AROUND_S, call.ended_at
    faults = history.disturbed(call.instance, start, end)
    return any(not name.startswith(GENTLE) for name in faults)


@PROMISES.register("recovers")
def check_recovery(history: History) -> Iterator[str]:
    """Find a run in which callers still go unanswered after the last fault."""
    late = [call for call in history.calls if call.sent_at >= history.calm_from]
    late = [c for c in late if c.key not in history.revoked]
    late = [call for call in late if not (call.mark or call.part)]
    served = sum(call.status == 200 and call.whole for call in late)
    if not late:
        yield "nobody asked after the last fault"
    elif served < LEAST_SERVED * len(late):
        yield f"{served} of {len(late)} answered after the last fault"


@PROMISES.register("no own ends")
def check_own_ends(history: History) -> Iterator[str]:
    """Find processes that ended by themselves."""
    yield from history.own_ends
