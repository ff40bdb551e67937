"""Test the adaptive limit, the account limit and the shedder."""

import pytest

from baobabthread.core.limits.limits import (
    AccountLimit,
    AdaptiveLimit,
    LimitSettings,
    Outcome,
    Shedder,
    SheddingSettings,
)
from baobabthread.core.limits.rates import Elsewhere


def run_rounds(limit: AdaptiveLimit, *, servers: int, rounds: int, start: float = 0.0):
    """Keep the limit full against a service of which so many run in 1 s each."""
    now = start
    for _ in range(rounds):
        batch = 0
        while limit.may_start(now):
            limit.started()
            batch += 1
        latency = max(1.0, batch / servers)
        now += latency
        for _ in range(batch):
            limit.finished(latency, Outcome.OK, now)
    return now


def test_the_limit_settles_between_the_capacity_and_twice_it():
    limit = AdaptiveLimit(settings=LimitSettings(initial=4.0))
    run_rounds(limit, servers=20, rounds=200)
    assert 20 <= limit.limit <= 45


def test_the_limit_falls_when_the_service_loses_servers():
    limit = AdaptiveLimit(settings=LimitSettings(initial=40.0))
    now = run_rounds(limit, servers=40, rounds=20)
    run_rounds(limit, servers=8, rounds=20, start=now)
    assert limit.limit <= 20


def test_lasting_overload_does_not_pass_for_the_least_latency():
    limit = AdaptiveLimit(settings=LimitSettings(span=4.0))
    limit.set_capacity(10, 1)
    limit.started()
    limit.finished(1.0, Outcome.OK, 0.0)
    for second in range(600):
        limit.started()
        limit.finished(10.0, Outcome.OK, float(second))
    assert limit.limit < 48.0


def test_one_burst_of_refusals_cuts_once():
    limit = AdaptiveLimit(settings=LimitSettings(initial=100.0))
    for _ in range(50):
        limit.started()
    for _ in range(50):
        limit.finished(0.5, Outcome.BUSY, 1.0)
    assert limit.limit == pytest.approx(85.0)


def test_failures_of_the_program_and_of_callers_do_not_lower_the_limit():
    limit = AdaptiveLimit(settings=LimitSettings(initial=10.0))
    for outcome in (Outcome.FAILED, Outcome.CANCELLED):
        limit.started()
        limit.finished(30.0, outcome, 1.0)
    assert limit.limit == 10.0
    assert limit.running == 0


def test_a_known_capacity_is_divided_by_the_live_entries_and_scales():
    limit = AdaptiveLimit(settings=LimitSettings(slack=1.2))
    limit.set_capacity(40, 6)
    assert limit.limit == pytest.approx(8.0)
    limit.set_capacity(40, 3)
    assert limit.limit == pytest.approx(16.0)
    limit.set_capacity(0, 3)
    assert limit.limit >= 1.0


def make_shared(*, running: int) -> AdaptiveLimit:
    limit = AdaptiveLimit(settings=LimitSettings(slack=1.2, even_part=0.5))
    limit.set_capacity(40, 6)
    for _ in range(running):
        limit.started()
    return limit


def test_the_room_goes_where_requests_wait():
    busy, quiet = make_shared(running=8), make_shared(running=2)
    for second in range(10):
        by_others = Elsewhere(running=30, waiting=10, backlogged=3)
        busy.share(by_others, 30, float(second))
        quiet.share(by_others, 0, float(second))
    assert busy.allowed(10.0) > 2 * 8.0
    assert 4.0 <= quiet.limit <= 8.0


def test_room_that_others_leave_is_borrowed_until_they_fall_silent():
    limit = make_shared(running=8)
    limit.share(Elsewhere(running=0, waiting=0, backlogged=0), 20, 1.0)
    assert limit.may_start(2.0)
    assert limit.allowed(2.0) > 30.0
    assert limit.allowed(20.0) == limit.limit < 30.0


def test_without_a_known_capacity_nothing_is_shared():
    limit = AdaptiveLimit(settings=LimitSettings(initial=16.0))
    limit.share(Elsewhere(running=0, waiting=0, backlogged=0), 20, 1.0)
    assert limit.allowed(1.0) == 16.0


def count_admitted(limit: AccountLimit, *, tokens: int, start: float, seconds: float):
    admitted = 0
    steps = int(seconds * 100)
    for step in range(steps):
        if limit.admit(tokens, start + step * 0.01) == 0.0:
            admitted += tokens
    return admitted


def test_an_account_gets_its_rate_and_its_burst():
    limit = AccountLimit(tokens_per_s=1_000.0, now=0.0)
    admitted = count_admitted(limit, tokens=50, start=0.0, seconds=20.0)
    assert admitted == pytest.approx(20_000 + 5_000, abs=100)


def test_the_time_to_come_back_is_when_the_account_is_admitted_again():
    limit = AccountLimit(tokens_per_s=100.0, now=0.0)
    assert limit.admit(900, 0.0) == 0.0
    wait = limit.admit(10, 0.0)
    assert limit.admit(10, wait - 0.1) > 0.0
    assert limit.admit(10, wait + 0.001) == 0.0


def test_six_busy_entries_settle_at_a_sixth_each():
    limits = [AccountLimit(tokens_per_s=600.0, now=0.0) for _ in range(6)]
    for second in range(1, 60):
        rates = [limit.tokens_per_s for limit in limits]
        for number, limit in enumerate(limits):
            limit.share(sum(rates) - rates[number], 6, float(second))
    total = sum(limit.tokens_per_s for limit in limits)
    assert total == pytest.approx(600.0, rel=0.02)


def test_an_entry_with_all_the_demand_gets_the_whole_rate():
    limit = AccountLimit(tokens_per_s=600.0, now=0.0)
    limit.share(500.0, 6, 1.0)
    for second in range(2, 40):
        limit.share(0.0, 6, float(second))
    assert limit.tokens_per_s == pytest.approx(600.0, rel=0.01)


def test_no_configured_rate_admits_all():
    limit = AccountLimit(tokens_per_s=0.0, now=0.0)
    assert all(limit.admit(10**6, 0.0) == 0.0 for _ in range(10))


def test_what_would_wait_past_its_deadline_is_refused_at_once():
    shedder = Shedder()
    args = {"service_s": 1.0, "deadline": 10.0, "now": 0.0}
    assert shedder.refuse_for(wait_s=8.0, **args) is None
    assert shedder.refuse_for(wait_s=9.1, **args) == pytest.approx(9.1)
    assert shedder.refuse_for(wait_s=12.0, **args) == pytest.approx(12.0)


def test_the_shedder_learns_that_estimates_are_too_low():
    shedder = Shedder(settings=SheddingSettings(max_correction=4.0))
    for _ in range(200):
        shedder.observe(estimated_s=2.0, waited_s=4.0)
    assert shedder.correction == pytest.approx(2.0, rel=0.01)
    refusal = shedder.refuse_for(wait_s=6.0, service_s=0.0, deadline=10.0, now=0.0)
    assert refusal == pytest.approx(12.0, rel=0.01)
    assert shedder.refuse_for(wait_s=4.9, service_s=0.0, deadline=10.0, now=0.0) is None


def test_the_correction_of_estimates_is_bounded():
    shedder = Shedder(settings=SheddingSettings(max_correction=1.5))
    for _ in range(200):
        shedder.observe(estimated_s=1.0, waited_s=9.0)
    assert shedder.correction == 1.5
