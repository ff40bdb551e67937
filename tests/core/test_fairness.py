"""Test fair queueing by account, class and deadline."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.core.configuration.configuration import Priority
from baobabthread.core.limits.fairness import FairnessSettings, FairQueue
from baobabthread.core.limits.flows import Waiting

ids = iter(range(10**9))


def make(account: str = "a", **changes: object) -> Waiting:
    fields: dict[str, object] = {
        "request_id": f"r{next(ids)}",
        "account": account,
        "weight": 1.0,
        "priority": Priority.INTERACTIVE,
        "tokens": 100,
        "deadline": 1_000.0,
        "arrived": 0.0,
    }
    return Waiting(**{**fields, **changes})


def fill(queue: FairQueue, account: str, count: int, **changes: object) -> None:
    for _ in range(count):
        queue.push(make(account, **changes), 0.0)


def take(queue: FairQueue, count: int, now: float = 0.0) -> dict[str, int]:
    """Pop so many requests and sum their tokens by account."""
    tokens: dict[str, int] = {}
    for _ in range(count):
        waiting = queue.pop(now)
        if waiting is not None:
            account = waiting.account
            tokens[account] = tokens.get(account, 0) + waiting.tokens
    return tokens


def make_queue(**settings: object) -> FairQueue:
    return FairQueue(settings=FairnessSettings(**settings))


def test_a_small_account_does_not_wait_behind_a_large_ones_backlog():
    queue = make_queue()
    fill(queue, "large", 500)
    take(queue, 50)
    fill(queue, "small", 3)
    assert take(queue, 7)["small"] == 300


def test_shares_are_in_tokens_by_weight_not_in_requests():
    queue = make_queue()
    fill(queue, "long", 400, tokens=1_000, weight=1.0)
    fill(queue, "short", 4_000, tokens=100, weight=2.0)
    tokens = take(queue, 1_000)
    assert tokens["short"] / tokens["long"] == pytest.approx(2.0, rel=0.05)


def test_an_idle_account_saves_up_no_claim():
    queue = make_queue()
    fill(queue, "late", 1)
    take(queue, 1)
    fill(queue, "busy", 1_000)
    take(queue, 500)
    fill(queue, "late", 500)
    tokens = take(queue, 200)
    assert tokens["late"] == pytest.approx(tokens["busy"], rel=0.05)


def test_waiting_batch_work_saves_up_no_claim_for_interactive_work():
    queue = make_queue(max_lag=1_000.0, batch_share=0.0)
    fill(queue, "hoarder", 5, priority=Priority.BATCH, deadline=1e6)
    fill(queue, "busy", 1_000)
    take(queue, 500)
    fill(queue, "hoarder", 200)
    fill(queue, "busy", 200)
    tokens = take(queue, 100)
    assert tokens["hoarder"] - tokens["busy"] <= 1_000 + 200


def test_an_account_far_ahead_is_served_again_within_the_lead():
    here, there = make_queue(max_lead=5_000.0), make_queue()
    fill(there, "spread", 1_000)
    here.merge("there", there.usage(0.0), 0.0)
    fill(here, "spread", 10)
    fill(here, "local", 1_000)
    take(there, 1_000)
    here.merge("there", there.usage(1.0), 1.0)
    assert take(here, 48, now=1.0) == {"local": 4_800}
    assert take(here, 24, now=1.0)["spread"] == 1_000


def test_urgent_work_goes_first():
    queue = make_queue()
    fill(queue, "a", 10)
    fill(queue, "b", 10, priority=Priority.BATCH)
    urgent = make("b", priority=Priority.URGENT)
    queue.push(urgent, 0.0)
    assert queue.pop(0.0) is urgent


def test_marking_everything_urgent_gains_no_more_than_the_credit():
    queue = make_queue(urgent_credit=2_000.0)
    fill(queue, "honest", 2_000)
    fill(queue, "greedy", 2_000, priority=Priority.URGENT)
    tokens = take(queue, 1_000)
    assert tokens["greedy"] - tokens["honest"] <= 2_000 + 200


def test_batch_work_gets_its_share_beside_endless_interactive_work():
    queue = make_queue(batch_share=0.1, batch_margin_s=0.0)
    fill(queue, "a", 2_000)
    fill(queue, "b", 2_000, priority=Priority.BATCH)
    tokens = take(queue, 1_000)
    assert tokens["b"] == pytest.approx(0.1 * tokens["a"], rel=0.1)


def test_batch_work_goes_by_deadline_within_an_account():
    queue = make_queue()
    for deadline in (900.0, 500.0, 700.0):
        queue.push(make(priority=Priority.BATCH, deadline=deadline), 0.0)
    assert [queue.pop(0.0).deadline for _ in range(3)] == [500.0, 700.0, 900.0]


def test_batch_work_close_to_its_last_chance_becomes_interactive():
    queue = make_queue(batch_margin_s=30.0, batch_margin=1.0, batch_share=0.0)
    fill(queue, "a", 1_000)
    summary = make("b", priority=Priority.BATCH, deadline=100.0, service_s=10.0)
    queue.push(summary, 0.0)
    early = [queue.pop(59.0) for _ in range(100)]
    late = [queue.pop(61.0) for _ in range(3)]
    assert summary not in early
    assert summary in late


def test_batch_work_with_little_time_becomes_interactive_late():
    queue = make_queue(batch_margin_s=30.0, batch_margin=0.1, batch_share=0.0)
    fill(queue, "a", 1_000)
    export = make("b", priority=Priority.BATCH, deadline=50.0)
    queue.push(export, 0.0)
    early = [queue.pop(44.0) for _ in range(100)]
    late = [queue.pop(46.0) for _ in range(3)]
    assert export not in early
    assert export in late


def test_expire_returns_what_cannot_make_its_deadline():
    queue = make_queue()
    late = make(deadline=10.0, service_s=3.0)
    good = make(deadline=10.0, service_s=1.0)
    queue.push(late, 0.0)
    queue.push(good, 0.0)
    assert queue.expire(7.5) == [late]
    assert queue.pop(7.5) is good
    assert queue.pop(7.5) is None
    assert queue.expire(100.0) == []


def test_a_full_queue_pushes_out_the_account_furthest_over_its_share():
    queue = make_queue(max_waiting=100)
    fill(queue, "large", 98)
    fill(queue, "small", 2)
    pushed_out = queue.push(make("small"), 0.0)
    assert pushed_out.account == "large"
    newcomer = make("large")
    assert queue.push(newcomer, 0.0) is newcomer
    urgent = make("large", priority=Priority.URGENT)
    assert queue.push(urgent, 0.0).priority is Priority.INTERACTIVE
    assert len(queue) == 100


def test_push_out_takes_the_last_of_the_lowest_class():
    queue = make_queue(max_waiting=3)
    first = make("a")
    batch_soon = make("a", priority=Priority.BATCH, deadline=400.0)
    batch_late = make("a", priority=Priority.BATCH, deadline=500.0)
    for waiting in (first, batch_late, batch_soon):
        queue.push(waiting, 0.0)
    assert queue.push(make("b"), 0.0) is batch_late
    assert queue.push(make("c"), 0.0) is batch_soon


def test_the_real_token_count_corrects_the_account():
    queue = make_queue()
    fill(queue, "a", 100)
    fill(queue, "b", 100)
    liar = queue.pop(0.0)
    queue.finished(liar.request_id, 1_100, 1.0)
    tokens = take(queue, 12)
    other = "b" if liar.account == "a" else "a"
    assert tokens[other] >= 1_000
    assert queue.usage(1.0).accounts[liar.account].started >= 1_100


def test_an_overestimate_is_given_back():
    queue = make_queue()
    fill(queue, "a", 100)
    fill(queue, "b", 100)
    first = [queue.pop(0.0) for _ in range(20)]
    for waiting in first:
        if waiting.account == "a":
            queue.finished(waiting.request_id, 10, 1.0)
    assert take(queue, 9) == {"a": 900}


def test_what_an_account_uses_at_other_entries_makes_it_wait_here():
    here, there = make_queue(), make_queue()
    fill(there, "spread", 500)
    here.merge("there", there.usage(0.0), 0.0)
    fill(here, "spread", 500)
    fill(here, "local", 500)
    take(there, 40)
    digest = there.usage(1.0)
    here.merge("there", digest, 1.0)
    here.merge("there", digest, 1.0)
    tokens = take(here, 60, now=1.0)
    assert tokens["local"] - tokens["spread"] == pytest.approx(4_000, abs=200)


def test_a_late_or_first_digest_counts_nothing_twice():
    here, there = make_queue(), make_queue()
    fill(there, "a", 100)
    take(there, 10)
    older = there.usage(0.0)
    take(there, 10)
    newer = there.usage(0.0)
    for digest in (newer, older, newer):
        here.merge("there", digest, 0.0)
    fill(here, "a", 100)
    fill(here, "b", 100)
    tokens = take(here, 20)
    assert tokens == {"a": 1_000, "b": 1_000}


def test_the_rate_of_an_account_elsewhere_is_measured_and_fades():
    here, there = make_queue(), make_queue()
    fill(there, "a", 1_000)
    for second in range(40):
        take(there, 5)
        here.merge("there", there.usage(second), float(second))
    assert here.tokens_per_s_elsewhere("a", 39.5) == pytest.approx(500.0, rel=0.1)
    assert here.tokens_per_s_elsewhere("a", 80.0) < 1.0
    assert here.tokens_per_s_elsewhere("b", 39.5) == 0.0


def test_running_elsewhere_ages_out():
    here, there = make_queue(stale_after_s=5.0), make_queue()
    fill(there, "a", 3)
    take(there, 2)
    here.merge("there", there.usage(0.0), 0.0)
    assert here.running("a", 4.0) == 2
    assert here.running("a", 6.0) == 0


def test_a_held_account_is_passed_over_until_released():
    queue = make_queue()
    fill(queue, "a", 5)
    fill(queue, "b", 5)
    queue.hold("a")
    queue.push(make("a"), 0.0)
    assert set(take(queue, 6)) == {"b"}
    queue.release("a")
    assert take(queue, 6) == {"a": 600}


def test_the_estimated_wait_is_the_own_share_of_the_backlog():
    queue = make_queue()
    fill(queue, "large", 4_000)
    for second in range(100):
        for _ in range(10):
            queue.pop(second * 1.0)
    small = queue.estimate_wait(make("small"))
    large = queue.estimate_wait(make("large"))
    assert small == pytest.approx(0.1, rel=0.2)
    assert large == pytest.approx(300.0, rel=0.1)
    assert queue.retry_after(100.0) == 60.0


operations = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "push", "pop", "remove", "expire", "finish"]),
        st.integers(0, 4),
        st.sampled_from(list(Priority)),
        st.integers(1, 500),
    ),
    max_size=200,
)


@given(operations)
def test_every_request_leaves_exactly_once(steps):
    queue = make_queue(max_waiting=8)
    pushed: set[str] = set()
    left: list[str] = []
    started: list[str] = []
    for step, (kind, number, priority, tokens) in enumerate(steps):
        now = step * 0.5
        if kind == "push":
            waiting = make(
                f"a{number}", priority=priority, tokens=tokens, deadline=now + tokens
            )
            pushed.add(waiting.request_id)
            out = queue.push(waiting, now)
            left += [out.request_id] if out else []
        elif kind == "pop":
            popped = queue.pop(now)
            started += [popped.request_id] if popped else []
        elif kind == "remove":
            gone = queue.remove(next(iter(pushed - set(left) - set(started)), ""))
            left += [gone.request_id] if gone else []
        elif kind == "expire":
            left += [waiting.request_id for waiting in queue.expire(now)]
        elif started:
            queue.finished(started[-1], tokens, now)
        assert len(queue) == len(pushed) - len(left) - len(started) <= 8
    while (popped := queue.pop(1e6)) is not None:
        started.append(popped.request_id)
    assert sorted(left + started) == sorted(pushed)
