"""Tests of who waits and who is refused on heavy days.

Pattern: a burst at 1.5 to 3 times the usual rate, one client account at 7.5 times its
usual, while the backend servers run what their places allow. Grounds: the bursts and
large accounts that the installations' sheets name.
"""

from __future__ import annotations

from baobabthread.core.configuration.configuration import Priority
from baobabthread.core.limits.fairness import Waiting
from baobabthread.routing.queues import MIN_RUNNING, ServiceQueue, classify


def waiting(
    id: str,
    *,
    account: str = "a",
    rank: int = 1,
    arrived: float = 0.0,
    deadline: float = 60.0,
    service_s: float = 0.1,
) -> Waiting:
    return Waiting(
        request_id=id,
        account=account,
        weight=1.0,
        priority=classify(rank),
        tokens=100,
        deadline=deadline,
        arrived=arrived,
        service_s=service_s,
    )


def fill(queue: ServiceQueue, now: float = 0.0) -> None:
    """Take all places."""
    number = 0
    while queue.running < queue.limit:
        queue.offer(waiting(f"fill{number}", account="x"), now, 0.0)
        assert queue.pop(now) is not None
        number += 1


def test_order_ranks_into_classes() -> None:
    assert [classify(rank) for rank in (0, 1, 2, 3, 9)] == [
        Priority.URGENT,
        Priority.INTERACTIVE,
        Priority.INTERACTIVE,
        Priority.BATCH,
        Priority.BATCH,
    ]


def test_share_the_places_among_instances() -> None:
    queue = ServiceQueue()
    queue.set_capacity(120, 6)
    assert queue.limit == 40
    queue.set_capacity(12, 60)
    assert queue.limit == MIN_RUNNING


def test_serve_a_small_account_beside_a_large_one() -> None:
    """One client account has forty requests queued when a small one sends two.

    First come, first served would let the small one wait behind all forty.
    """
    queue = ServiceQueue()
    fill(queue)
    for number in range(40):
        queue.offer(waiting(f"large{number}", account="large"), 0.0, 0.0)
    for number in range(2):
        queue.offer(waiting(f"small{number}", account="small"), 0.1, 0.0)
    order = []
    for number in range(6):
        queue.finish(f"fill{number}", 100, 0.2)
        found = queue.pop(0.2)
        assert found is not None
        order.append(found.request_id)
    assert {"small0", "small1"} <= set(order[:5])


def test_serve_urgent_requests_first() -> None:
    queue = ServiceQueue()
    fill(queue)
    queue.offer(waiting("draft", rank=2), 0.0, 0.0)
    queue.offer(waiting("notice", rank=0, account="b"), 0.1, 0.0)
    queue.finish("fill0", 100, 0.2)
    found = queue.pop(0.2)
    assert found is not None
    assert found.request_id == "notice"


def test_refuse_at_once_what_cannot_be_served_in_time() -> None:
    """The queue is longer than the time that a request has.

    Waiting to its deadline would cost the caller the chance to go elsewhere; it is
    refused on arrival, with the time after which there will be room.
    """
    queue = ServiceQueue()
    fill(queue)
    for number in range(200):
        queue.offer(waiting(f"w{number}"), 0.0, 0.0)
    now = 0.0
    for number in range(20):
        now += 0.1
        queue.finish(f"fill{number % 8}", 100, now)
        queue.pop(now)
    late = queue.offer(waiting("late", deadline=now + 0.5), now, 0.0)
    assert not late.admitted
    assert late.retry_after_s >= 0.1
    spread = queue.offer(waiting("late2", deadline=now + 0.5), now, 1.0)
    assert spread.retry_after_s > late.retry_after_s


def test_expire_what_waits_too_long() -> None:
    queue = ServiceQueue()
    fill(queue)
    queue.offer(waiting("short", deadline=1.0, service_s=0.3), 0.0, 0.0)
    assert queue.expire(0.6) == []
    assert [found.request_id for found in queue.expire(0.8)] == ["short"]
