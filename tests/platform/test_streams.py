"""Event streams arrive complete and in order, each event once, or visibly broken."""

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


def check_complete(response: CallerResponse, events: int) -> None:
    """Check that each event arrived once and in order, and that the stream ended."""
    assert response.is_complete
    assert response.event_ids == list(range(1, events + 1))


def test_forward_events() -> None:
    async def case() -> None:
        async with open_site("e1") as site:
            response = await site.call_model()
            check_complete(response, 3)
            received = site.backends[0].seen[0]
            assert received.headers["x-model"] == "small"
            assert received.headers["x-prompt-prefix"] == "aa:50,bb:30,cc:20"
            assert received.headers["x-token-usage"] == "100,20"

    run(case())


def test_keep_a_model_that_the_caller_names() -> None:
    async def case() -> None:
        async with open_site("e1") as site:
            site.backends[0].confidence = {"middle": 0}
            await site.call_model(X_Model="middle")
            assert [
                request.headers["x-model"] for request in site.backends[0].seen
            ] == ["middle"]

    run(case())


@pytest.mark.parametrize(
    ("confidence", "models"),
    [
        ({"small": 90}, ["small"]),
        ({"small": 55}, ["small", "middle"]),
        ({"small": 20}, ["small", "large"]),
        ({"small": 55, "middle": 30}, ["small", "middle", "large"]),
    ],
)
def test_escalate_to_a_larger_model_by_confidence(
    confidence: dict[str, int], models: list[str]
) -> None:
    """With low confidence a larger model is tried; only the last response counts."""

    async def case() -> None:
        async with open_site("e1") as site:
            site.backends[0].confidence = confidence
            response = await site.call_model()
            check_complete(response, 3)
            assert models[-1].encode() in response.body
            tried = [request.headers["x-model"] for request in site.backends[0].seen]
            assert tried == models

    run(case())


def test_resume_a_stream_that_breaks_within_an_event() -> None:
    """An engine resets its connection in the middle of the second event.

    The partial event must not be forwarded. Another engine continues after the first
    event within the same response, and the caller receives each event once.
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
                check_complete(await site.call_model(), 4)
            resumed = [
                request.headers["last-event-id"]
                for request in site.backends[1].seen
                if "last-event-id" in request.headers
            ]
            assert set(resumed) <= {"1"}

    run(case())


def test_never_end_a_broken_stream_as_complete() -> None:
    """A stream that may not be resumed breaks; the caller's connection is closed.

    A regular end of the response would make a partial stream look complete.
    """

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            for backend in site.backends:
                backend.behaviour = "stream_cut"
            response = await site.call_model("/once/x")
            assert not response.is_complete
            assert response.event_ids == [1]
            assert sum(len(backend.seen) for backend in site.backends) == 1

    run(case())


def test_continue_after_the_last_event_id() -> None:
    async def case() -> None:
        async with open_site("e1") as site:
            response = await site.call_model(Last_Event_Id="2")
            assert response.is_complete
            assert response.event_ids == [3]

    run(case())


def test_resume_elsewhere_when_an_engine_falls_silent() -> None:
    """An engine sends nothing more on any connection, without resetting them."""

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            site.backends[0].behaviour = "mute"
            for _ in range(2):
                check_complete(await site.call_model(), 3)

    run(case())


def test_resume_on_the_old_version_what_started_before_the_order() -> None:
    """A stream on the old version breaks after a roll-out has been ordered.

    If it were resumed on a new version that fails every request, the stream would be
    lost although the old version could continue it.
    """

    async def case() -> None:
        async with open_site("e1") as site:
            selection = site.instances[0].forwarder.selection
            plan = VersionPlan(service="engine", bounds=RoutingBounds(exposure_share=1))
            contexts = [make_context(site, f"s{number}") for number in range(20)]
            for context in contexts:
                assert selection.choose_version(context, plan) is None
                context.runs = 1
            await site.add_backend("n1", service="engine", version="v2")
            await site.wait_ready()
            order = RolloutOrder(
                offset=1, service="engine", target="v2", time_limit_s=60
            )
            plan.apply_order(order, now() - 10.0)
            plan.update_target(usable=True, now=now() - 9.0)
            plan.permit(requested_at=now() + 60.0)
            assert any(plan.choose(context.session, now()) for context in contexts)
            versions = {selection.choose_version(context, plan) for context in contexts}
            assert versions == {"v1"}

    run(case())


def make_context(site: Site, session: str) -> RequestContext:
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
        reply=UnusedReply(),
        route=route,
        account=None,
        service="engine",
        deadline=now() + 5.0,
    )


class UnusedReply(Reply):
    """A caller to which no response is sent in the test."""

    has_begun = False


@pytest.mark.parametrize(("max_tokens", "status"), [(20, 200), (100, 503), (2000, 503)])
def test_start_no_stream_that_may_outlast_the_instance(
    max_tokens: int, status: int
) -> None:
    """A stopping instance receives a stream request from a caller that knows it.

    The caller expects ten tokens but allows more, and the engines' speed is not known
    yet. Cut when the instance ends, the stream would be lost; rejected, it can start on
    another instance.
    """

    async def case() -> None:
        async with open_site("e1") as site:
            admission = site.instances[0].forwarder.admission
            stops_at = now()
            plan = plan_stop(grace_s=8.0, now=stops_at, signalled_at=stops_at)
            admission.begin_stop(
                msgspec.structs.replace(
                    plan, serves_all_until=stops_at, takes_until=stops_at + 3.0
                )
            )
            response = await site.call_model(X_Token_Usage=f"100,{max_tokens}")
            assert response.status == status

    run(case())
