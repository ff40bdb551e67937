"""The way of requests through one entry's core."""

from __future__ import annotations

import msgspec
import pytest

from baobabthread.core.events import Broken, Deliver, Dispatch, Refuse, Refused
from baobabthread.core.messages import Append, Stream
from baobabthread.errors import Kind, Ran
from tests.core.lone import SURE, WEAK, Lone, find, write_text


def list_bills(effects: list[object]) -> list[dict[str, object]]:
    return [
        msgspec.json.decode(effect.body)
        for effect in effects
        if isinstance(effect, Append) and effect.stream is Stream.BILLS
    ]


def test_sure_answer_is_delivered_and_billed_once() -> None:
    lone = Lone()
    dispatch = find(lone.ask(), Dispatch)
    assert dispatch.version == "small"
    assert not dispatch.relay
    effects = lone.end("r1", dispatch.backend, SURE)
    assert find(effects, Deliver).version == "small"
    (bill,) = list_bills(effects)
    assert bill["cost"] == pytest.approx(0.005)


def test_weak_answer_escalates_and_bills_both_attempts() -> None:
    lone = Lone()
    first = find(lone.ask(), Dispatch)
    second = find(lone.end("r1", first.backend, WEAK), Dispatch)
    assert second.version == "large"
    assert second.relay
    (bill,) = list_bills(lone.end("r1", second.backend, SURE))
    assert bill["cost"] == pytest.approx(0.005 + 0.05)
    assert [each["version"] for each in bill["attempts"]] == ["small", "large"]


def test_withdrawn_meanwhile_gets_no_retry() -> None:
    """The caller gets a whole answer, from a version that is still offered.

    The first attempt at the small version breaks without a byte delivered; before
    the retry the operators withdraw that version. A plan made earlier must not carry
    the retry to it: a withdrawn version receives no new request.
    """
    lone = Lone()
    first = find(lone.ask(), Dispatch)
    assert first.version == "small"
    lone.publish(write_text(state='state = "withdrawn"'))
    retry = find(lone.end("r1", first.backend, Broken(sent=True)), Dispatch)
    assert retry.version == "large"


def test_stream_in_progress_resumes_on_its_version() -> None:
    """The caller's stream goes on with the same text, where it broke.

    The large version has delivered three tokens when its server dies. Another server
    of the same version takes over at token three, though the version is withdrawn
    meanwhile: another version could not continue the text.
    """
    lone = Lone()
    first = find(lone.ask(service="large", stream=True), Dispatch)
    text = write_text().replace('model = "l"', 'model = "l"\nstate = "withdrawn"')
    lone.publish(text)
    broken = Broken(sent=True, delivered_tokens=3)
    second = find(lone.end("r1", first.backend, broken), Dispatch)
    assert second.version == "large"
    assert second.resume_from == 3
    assert second.backend != first.backend


def test_cut_off_while_waiting_is_not_dispatched() -> None:
    """The caller is told "not run" and to use another address.

    Its request waits in the queue while the entry loses the log; with no peer that
    answers it is no majority of the entries it knows. When room comes, the check at
    the arrival is old: the start checks again.
    """
    lone = Lone(seeds=("127.0.0.1:11", "127.0.0.1:12"))
    service = lone.core._services["content"]
    service.limit.limit = 1.0
    service.limit._capacity = 0.0
    first = find(lone.ask(), Dispatch)
    assert not [e for e in lone.ask() if isinstance(e, Dispatch)]
    lone.tick(10.0)
    effects = lone.end("r1", first.backend, SURE)
    assert find(effects, Deliver).request_id == "r1"
    refusal = find(effects, Refuse)
    assert refusal.request_id == "r2"
    assert refusal.problem.kind is Kind.CUT_OFF
    assert refusal.problem.ran is Ran.NO


def test_account_removed_while_waiting_is_refused() -> None:
    lone = Lone()
    service = lone.core._services["content"]
    service.limit.limit = 1.0
    service.limit._capacity = 0.0
    first = find(lone.ask(), Dispatch)
    lone.ask()
    lone.publish(write_text().replace("[accounts.metro]", "[accounts.malls]"))
    service.limit.limit = 1.0
    refusal = find(lone.end("r1", first.backend, SURE), Refuse)
    assert refusal.request_id == "r2"
    assert refusal.problem.kind is Kind.FORBIDDEN


def test_account_rate_is_applied() -> None:
    lone = Lone(text=write_text(limit="tokens_per_s = 10.0"))
    find(lone.ask(), Dispatch)
    problem = find(lone.ask(), Refuse).problem
    assert problem.kind is Kind.OVERLOADED
    assert problem.ran is Ran.NO
    assert problem.retry_after_s is not None
    lone.tick(problem.retry_after_s + 0.1)
    lone.read_head()
    find(lone.ask(), Dispatch)


def test_no_quarantines_known_refuses_models_only() -> None:
    lone = Lone()
    lone.core.conductors.caught_up = False
    problem = find(lone.ask(), Refuse).problem
    assert problem.kind is Kind.NOT_CONFIGURED
    plain = lone.ask(service="screens", call="status", is_model=False)
    assert find(plain, Dispatch).backend in ("screen-1", "screen-2")


@pytest.mark.parametrize(
    ("outcome", "ran"),
    [
        (Broken(sent=True), Ran.UNKNOWN),
        (Refused(kind="leaving"), Ran.NO),
    ],
)
def test_warning_is_dispatched_at_most_once(outcome: object, ran: Ran) -> None:
    """The caller learns what is known of its warning, and no second one goes out.

    The server breaks off after the request left, or refuses it; the only other attempt
    would be a repeat of a call that may not be repeated.
    """
    lone = Lone()
    call = {"service": "screens", "call": "reboot", "is_model": False}
    first = find(lone.ask(**call, idempotency_key="e1-1/w1"), Dispatch)
    effects = lone.end("r1", first.backend, outcome)  # type: ignore[arg-type]
    assert not [each for each in effects if isinstance(each, Dispatch)]
    assert find(effects, Refuse).problem.ran is ran


def test_warning_that_never_left_is_tried_elsewhere() -> None:
    lone = Lone()
    call = {"service": "screens", "call": "reboot", "is_model": False}
    first = find(lone.ask(**call, idempotency_key="e1-1/w1"), Dispatch)
    second = find(lone.end("r1", first.backend, Broken(sent=False)), Dispatch)
    assert second.backend != first.backend


def test_deadline_in_queue_is_refused_at_once() -> None:
    lone = Lone()
    service = lone.core._services["content"]
    service.limit.limit = 1.0
    service.limit._capacity = 0.0
    find(lone.ask(), Dispatch)
    lone.ask(deadline_s=1.0)
    refusal = find(lone.tick(1.5), Refuse)
    assert refusal.request_id == "r2"
    assert refusal.problem.kind is Kind.DEADLINE
    assert refusal.problem.ran is Ran.NO
