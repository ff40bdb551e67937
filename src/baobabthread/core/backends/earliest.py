"""The balancer by the work before a request's first part."""

from __future__ import annotations

import math
from collections.abc import Iterable

from baobabthread.core.backends.backends import Server
from baobabthread.core.backends.balancers import BALANCERS, View

NAME = "earliest"
READING_WEIGHT = 2.0
"""Seconds of waiting that a second of reading a prefix again is worth."""
SPILL_PART = 0.6
"""Part of that at the server to which a prefix spills, where it often is as well."""
AWAY_S = 0.01
"""Seconds of waiting for which a prefix that nobody keeps goes to its own server: the
next one with the same prefix finds it there though the keepers were replaced."""
RUN_S = 0.05
"""Seconds that any request takes at an idle server, by which its slowness and its
crowding weigh against the wait."""
MAX_SLOWNESS = 10.0
"""Greatest slowness of a server, relative to the usual. One that is not chosen can't
show that it has become faster. While no prompts wait, others are overrun by half of
their places at most before it is tried again."""
SPEED_HALF_LIFE_REQUESTS = 10.0
"""Requests to each server of a service, on average, after which what is known of one's
slowness counts half. Otherwise a server that was slow for a moment could not show that
it no longer is."""
QUEUE_S = 1.0
"""Seconds of waiting for each time that a server's places are taken once more."""


@BALANCERS.register(NAME)
def pick_earliest(view: View) -> Server | None:
    """Take the server at which the request's first part would be ready first.

    Prompts are read one after the other, so a request waits for the work before it,
    not for the number of requests: one long prompt outweighs many that run.
    """
    home = view.pool.preferred(view.prefix_key) if view.prefix_key else ()
    best: Server | None = None
    best_s = math.inf
    for server in _sample(view, home):
        if server.name in view.exclude:
            continue
        ready_s = _estimate_ready(view, server) + _estimate_reading(view, server, home)
        if ready_s < best_s:
            best, best_s = server, ready_s
    if best is None and not view.candidates:
        # All servers of the sample are excluded, others may not be.
        return view.draw()
    return best


def _sample(view: View, home: tuple[Server, ...]) -> Iterable[Server]:
    usable = view.pool.usable
    if view.candidates:
        usable = [server for server in usable if server.name in view.candidates]
    if len(usable) <= view.settings.sample:
        # A random start, so that entries that see the same don't all choose the first.
        turn = int(view.rng.random() * len(usable)) if usable else 0
        return [*usable[turn:], *usable[:turn]]
    return [*home, *view.rng.sample(usable, view.settings.sample)]


def _estimate_reading(view: View, server: Server, home: tuple[Server, ...]) -> float:
    """Return what reading a prefix costs at a server that may not have it."""
    load = view.loads.get(server.name)
    if load is not None:
        missing = 1.0 - min(1.0, load.kept_tokens / max(1, view.shared_tokens))
        cost = view.shared_s * READING_WEIGHT * missing
        is_away = bool(home) and server is not home[0]
        return cost + AWAY_S if is_away else cost
    if home and server is home[0]:
        return 0.0
    # What is read again also holds up all others there: near saturation that is the
    # larger part, and spilling for a short wait makes the queue that it flees from.
    cost = view.shared_s * READING_WEIGHT
    return cost * SPILL_PART if server in home else cost


def _estimate_ready(view: View, server: Server) -> float:
    now = view.now
    load = view.loads.get(server.name)
    if load is not None:
        ready = max(server.pending, load.wait_s)
    else:
        ready = max(server.wait(now), _average_wait(view))
    if server.far:
        ready += view.settings.far_wait_s
    crowd = (server.in_flight + 1) / (server.capacity * max(0.1, server.ramp(now)))
    slowness = server.slowness(now, view.usual, most=MAX_SLOWNESS)
    # Beyond its places requests queue for whole answers; below them each one that runs
    # slows the others a little.
    queue = max(0.0, crowd - 1.0) * QUEUE_S
    return (ready + RUN_S * (1.0 + crowd)) * slowness + queue


def _average_wait(view: View) -> float:
    """Return what prompts wait at the servers whose load is known.

    Failure: a keeper is paused, and its servers look idle to whoever has sent nothing
    there. Taken for as loaded as the others, they draw no more than their part.
    """
    waits = [load.wait_s for load in view.loads.values()]
    return sum(waits) / len(waits) if waits else 0.0
