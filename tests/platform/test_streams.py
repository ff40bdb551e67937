"""Streams of events: whole, once, in order, or visibly broken off."""

from __future__ import annotations

import msgspec
import pytest

from baobabthread.instance.clock import now
from baobabthread.instance.context import CallerRequest, Reply, RequestContext
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import RolloutOrder
from baobabthread.routing.stopping import plan_stop
from baobabthread.routing.table import Envelope
from baobabthread.routing.versions import VersionPlan
from tests.platform.fakecallers import HOST, CallerResponse
from tests.platform.site import Site, open_site, run


def check_whole(answer: CallerResponse, events: int) -> None:
    """Check that each event came once and in order, and that the stream ended."""
    assert answer.is_complete
    assert answer.event_ids == list(range(1, events + 1))


def test_pass_events_on() -> None:
    async def case() -> None:
        async with open_site("e1") as site:
            answer = await site.call_model()
            check_whole(answer, 3)
            seen = site.backends[0].seen[0]
            assert seen.headers["x-model"] == "small"
            assert seen.headers["x-prompt-prefix"] == "aa:50,bb:30,cc:20"
            assert seen.headers["x-token-usage"] == "100,20"

    run(case())


def test_leave_a_model_that_the_caller_names() -> None:
    async def case() -> None:
        async with open_site("e1") as site:
            site.backends[0].confidence = {"middle": 0}
            await site.call_model(X_Model="middle")
            assert [s.headers["x-model"] for s in site.backends[0].seen] == ["middle"]

    run(case())


@pytest.mark.parametrize(
    ("confidence", "asked"),
    [
        ({"small": 90}, ["small"]),
        ({"small": 55}, ["small", "middle"]),
        ({"small": 20}, ["small", "large"]),
        ({"small": 55, "middle": 30}, ["small", "middle", "large"]),
    ],
)
def test_ask_a_larger_model_by_confidence(
    confidence: dict[str, int], asked: list[str]
) -> None:
    """The small model doubts its answer; the caller only sees the one that counts."""

    async def case() -> None:
        async with open_site("e1") as site:
            site.backends[0].confidence = confidence
            answer = await site.call_model()
            check_whole(answer, 3)
            assert asked[-1].encode() in answer.body
            found = [seen.headers["x-model"] for seen in site.backends[0].seen]
            assert found == asked

    run(case())


def test_resume_a_stream_that_breaks_within_an_event() -> None:
    """An engine resets its connection in the middle of the second event.

    The half event must not be passed on; another engine goes on behind the first one,
    within the same answer, and the caller sees each event once.
    """

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            site.backends[0].behaviour = "stream_cut"
            site.backends[1].behaviour = "stream_cut"
            site.backends[1].events = 1
            for backend in site.backends:
                backend.events = 4
            site.backends[1].behaviour = "answer"
            for _ in range(3):
                check_whole(await site.call_model(), 4)
            resumed = [
                seen.headers["last-event-id"]
                for seen in site.backends[1].seen
                if "last-event-id" in seen.headers
            ]
            assert set(resumed) <= {"1"}

    run(case())


def test_never_end_a_broken_stream_as_complete() -> None:
    """A stream that may not be resumed breaks off: its caller sees the connection end.

    A clean end would pass a part of the answer off as the whole.
    """

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            for backend in site.backends:
                backend.behaviour = "stream_cut"
            answer = await site.call_model("/once/x")
            assert not answer.is_complete
            assert answer.event_ids == [1]
            assert sum(len(b.seen) for b in site.backends) == 1

    run(case())


def test_go_on_after_the_event_that_the_caller_has() -> None:
    async def case() -> None:
        async with open_site("e1") as site:
            answer = await site.call_model(Last_Event_Id="2")
            assert answer.is_complete
            assert answer.event_ids == [3]

    run(case())


def test_resume_elsewhere_when_an_engine_falls_silent() -> None:
    """An engine goes dark: no reset, no bytes, on any connection."""

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            site.backends[0].behaviour = "mute"
            for _ in range(2):
                check_whole(await site.call_model(), 3)

    run(case())


def test_resume_on_the_old_version_what_began_before_the_order() -> None:
    """A stream runs on the old version when an order to move comes, and then it breaks.

    The new version answers every request with a failure. Resumed there, the stream
    would be cut, though the old version could go on with it.
    """

    async def case() -> None:
        async with open_site("e1") as site:
            selection = site.instances[0].forwarder.selection
            plan = VersionPlan(service="engine", bounds=RoutingBounds(exposure_share=1))
            flights = [make_flight(site, f"s{number}") for number in range(20)]
            for flight in flights:
                assert selection.choose_version(flight, plan) is None
                flight.runs = 1
            await site.add_backend("n1", service="engine", version="v2")
            await site.wait_ready()
            order = RolloutOrder(
                number=1, service="engine", target="v2", time_limit_s=60
            )
            plan.apply_order(order, now() - 10.0)
            plan.update_target(usable=True, now=now() - 9.0)
            plan.permit(requested_at=now() + 60.0)
            assert any(plan.choose(flight.session, now()) for flight in flights)
            versions = {selection.choose_version(flight, plan) for flight in flights}
            assert versions == {"v1"}

    run(case())


def make_flight(site: Site, session: str) -> RequestContext:
    table = site.instances[0].replica.table
    assert table is not None
    route = table.match(HOST, "/stream/x")
    assert route is not None
    request = CallerRequest(
        method="POST",
        target="/stream/x",
        host=HOST,
        headers=[],
        body=b"",
        envelope=Envelope(request_id=session, session=session),
        arrived_at=now(),
    )
    return RequestContext(
        request=request,
        reply=Unanswered(),
        route=route,
        account=None,
        service="engine",
        deadline=now() + 5.0,
    )


class Unanswered(Reply):
    """Stand for a caller that is not answered in the test."""

    has_begun = False


@pytest.mark.parametrize(
    ("most_tokens", "status"), [(20, 200), (100, 503), (2000, 503)]
)
def test_begin_no_stream_that_may_outlast_the_instance(
    most_tokens: int, status: int
) -> None:
    """An instance was told to stop, and a caller that knows it still sends a request.

    The caller expects ten tokens but allows more, and nobody knows yet how slow the
    engines are. Cut at the end of the instance's time, the stream would be lost;
    refused, it begins at another one.
    """

    async def case() -> None:
        async with open_site("e1") as site:
            admission = site.instances[0].forwarder.admission
            moment = now()
            plan = plan_stop(grace_s=8.0, now=moment, signalled_at=moment)
            admission.begin_stop(
                msgspec.structs.replace(
                    plan, serves_all_until=moment, takes_until=moment + 3.0
                )
            )
            answer = await site.call_model(X_Token_Usage=f"100,{most_tokens}")
            assert answer.status == status

    run(case())
