"""Tests of queueing and rejection under heavy load.

The load pattern is a burst at 1.5 to 3 times the usual rate, with one client account at
7.5 times its usual, while the backend servers run at capacity. Bursts and accounts of
this size occur in deployments.
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
    """Fill the queue's running slots."""
    number = 0
    while queue.running < queue.limit:
        queue.offer(waiting(f"fill{number}", account="x"), now, 0.0)
        assert queue.pop(now) is not None
        number += 1


def test_ranks_map_to_priority_classes() -> None:
    assert [classify(rank) for rank in (0, 1, 2, 3, 9)] == [
        Priority.URGENT,
        Priority.INTERACTIVE,
        Priority.INTERACTIVE,
        Priority.BATCH,
        Priority.BATCH,
    ]


def test_slots_are_shared_among_instances() -> None:
    queue = ServiceQueue()
    queue.set_capacity(120, 6)
    assert queue.limit == 40
    queue.set_capacity(12, 60)
    assert queue.limit == MIN_RUNNING


def test_small_account_is_served_beside_a_large_one() -> None:
    """A client account has forty requests queued when a small one sends two.

    In order of arrival, the small one would wait behind all forty.
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
        popped = queue.pop(0.2)
        assert popped is not None
        order.append(popped.request_id)
    assert {"small0", "small1"} <= set(order[:5])


def test_urgent_requests_are_served_first() -> None:
    queue = ServiceQueue()
    fill(queue)
    queue.offer(waiting("draft", rank=2), 0.0, 0.0)
    queue.offer(waiting("notice", rank=0, account="b"), 0.1, 0.0)
    queue.finish("fill0", 100, 0.2)
    popped = queue.pop(0.2)
    assert popped is not None
    assert popped.request_id == "notice"


def test_requests_that_cannot_be_served_in_time_are_rejected_at_once() -> None:
    """The wait in the queue exceeds the deadline of a request.

    It is rejected on arrival with a retry time, so that the caller can go elsewhere
    instead of waiting until the deadline.
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
    jittered = queue.offer(waiting("late2", deadline=now + 0.5), now, 1.0)
    assert jittered.retry_after_s > late.retry_after_s


def test_requests_that_wait_too_long_expire() -> None:
    queue = ServiceQueue()
    fill(queue)
    queue.offer(waiting("short", deadline=1.0, service_s=0.3), 0.0, 0.0)
    assert queue.expire(0.6) == []
    assert [popped.request_id for popped in queue.expire(0.8)] == ["short"]
