"""Test the retry budget."""

import random

from baobabthread.core.limits.retries import Attempt, RetryBudget, RetrySettings
from baobabthread.errors import Ran


def make_budget(**settings: object) -> RetryBudget:
    return RetryBudget(rng=random.Random(1), settings=RetrySettings(**settings))


def make_attempt(**changes: object) -> Attempt:
    fields: dict[str, object] = {
        "idempotent": True,
        "ran": Ran.UNKNOWN,
        "first_byte_sent": True,
        "number": 1,
        "deadline": 100.0,
    }
    return Attempt(**{**fields, **changes})


def test_retries_stay_a_tenth_of_the_requests_when_all_fail():
    budget = make_budget(floor_per_s=0.0, max_balance=20.0)
    retries = 0
    for number in range(10_000):
        now = number * 0.001
        budget.count_request(now)
        retries += budget.may_retry(make_attempt(), now) is not None
    assert 1_000 <= retries <= 1_010 + 10


def test_a_quiet_service_keeps_the_floor():
    budget = make_budget(max_balance=2.0, floor_per_s=0.2)
    while budget.may_retry(make_attempt(), 0.0) is not None:
        pass
    assert budget.may_retry(make_attempt(), 4.0) is None
    assert budget.may_retry(make_attempt(), 5.1) is not None


def test_a_non_idempotent_request_is_repeated_only_if_no_byte_left():
    budget = make_budget()
    for ran in Ran:
        sent = make_attempt(idempotent=False, ran=ran, first_byte_sent=True)
        assert budget.may_retry(sent, 0.0) is None
    unknown = make_attempt(idempotent=False, ran=Ran.UNKNOWN, first_byte_sent=False)
    assert budget.may_retry(unknown, 0.0) is None
    unsent = make_attempt(idempotent=False, ran=Ran.NO, first_byte_sent=False)
    assert budget.may_retry(unsent, 0.0) is not None


def test_no_retry_that_would_end_after_the_deadline():
    budget = make_budget(base_delay_s=0.001)
    late = make_attempt(deadline=10.0, service_s=2.0)
    assert budget.may_retry(late, 8.5) is None
    assert budget.may_retry(late, 7.5) is not None
    assert budget.may_retry(make_attempt(deadline=10.0, retry_after_s=5.0), 6.0) is None


def test_the_delay_grows_has_jitter_and_honours_the_servers_wish():
    budget = make_budget(base_delay_s=0.1, max_attempts=9, max_balance=1000.0)
    first = [budget.may_retry(make_attempt(number=1), 0.0) for _ in range(50)]
    third = [budget.may_retry(make_attempt(number=3), 0.0) for _ in range(50)]
    assert max(first) <= 0.1 < max(third) <= 0.4
    assert len(set(first)) == 50
    asked = budget.may_retry(make_attempt(retry_after_s=2.0), 0.0)
    assert 2.0 <= asked <= 2.1


def test_hedging_is_off_until_it_is_set_and_then_costs_budget():
    assert not make_budget().may_hedge(idempotent=True, now=0.0)
    hedging = make_budget(hedging=True, max_balance=2.0)
    assert hedging.may_hedge(idempotent=True, now=0.0)
    assert not hedging.may_hedge(idempotent=True, now=0.0)
    assert not make_budget(hedging=True).may_hedge(idempotent=False, now=0.0)
