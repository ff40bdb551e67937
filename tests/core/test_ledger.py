"""Test the ledger of one entry and the copies that it holds for others."""

from __future__ import annotations

from typing import Any

from baobabthread.core.billing.ledger import Ledger
from baobabthread.core.billing.types import (
    BillOpened,
    BillOutcome,
    BillRefused,
    BillRequest,
    BillsCopied,
    BillsTaken,
    CopyBills,
    HandOverBills,
    LedgerSettings,
    Peer,
    Settlement,
)
from baobabthread.core.messages import (
    Append,
    Appended,
    AppendFailed,
    Effects,
    Send,
    SendFailed,
    Stream,
)
from baobabthread.errors import Kind, Ran

NEAR = Peer(name="e2", failure_domain="north")
FAR = Peer(name="e3", failure_domain="south")
DONE = Settlement(outcome=BillOutcome.ANSWERED, cost=3.0, tokens=10)


def make_ledger(*peers: Peer, **settings: Any) -> Ledger:
    ledger = Ledger(
        incarnation="e1", failure_domain="north", settings=LedgerSettings(**settings)
    )
    ledger.set_peers(peers, 0.0)
    return ledger


def make_request(request_id: str, key: str = "") -> BillRequest:
    return BillRequest(
        request_id=request_id, account="a", service="s", key=key, estimate=5.0
    )


def get_copy(effects: Effects) -> CopyBills:
    [message] = [e.message for e in effects if isinstance(e, Send)]
    assert isinstance(message, CopyBills)
    return message


def open_bill(ledger: Ledger, request_id: str, now: float = 1.0) -> None:
    copy = get_copy(ledger.open(make_request(request_id), now))
    ledger.on_message("e3", BillsCopied(batch=copy.batch), now)


def get_appends(effects: Effects) -> list[Append]:
    return [effect for effect in effects if isinstance(effect, Append)]


def test_bill_opens_at_a_peer_in_another_failure_domain() -> None:
    ledger = make_ledger(NEAR, FAR)
    [send] = ledger.open(make_request("r1"), 1.0)
    assert send.to == "e3"
    opened = ledger.on_message("e3", BillsCopied(batch=send.message.batch), 1.1)
    assert opened == [BillOpened(request_id="r1")]


def test_one_batch_of_opens_is_in_flight_per_peer() -> None:
    ledger = make_ledger(FAR)
    first = get_copy(ledger.open(make_request("r1"), 1.0))
    assert ledger.open(make_request("r2"), 1.0) == []
    assert ledger.open(make_request("r3"), 1.0) == []
    effects = ledger.on_message("e3", BillsCopied(batch=first.batch), 1.1)
    ids = [bill.request_id for bill in get_copy(effects).opens]
    assert ids == ["r2", "r3"]


def test_second_peer_is_asked_then_the_entry_goes_on_alone() -> None:
    ledger = make_ledger(NEAR, FAR)
    first = get_copy(ledger.open(make_request("r1"), 1.0))
    [second] = ledger.on_send_failed(SendFailed(to="e3", message=first), 1.0)
    assert second.to == "e2"
    effects = ledger.tick(1.0 + 0.3)
    assert BillOpened(request_id="r1", degraded=True) in effects
    assert ledger.degraded == 1


def test_only_entry_goes_on_alone() -> None:
    effects = make_ledger().open(make_request("r1"), 1.0)
    assert effects == [BillOpened(request_id="r1", degraded=True)]


def test_cut_off_entry_refuses_in_an_outage() -> None:
    ledger = make_ledger(FAR)
    open_bill(ledger, "r1")
    [append] = get_appends(ledger.close("r1", DONE, 1.1))
    failed = AppendFailed(stream=Stream.BILLS, id=append.id, definite=True)
    ledger.on_append_failed(failed, 1.2)
    copy = get_copy(ledger.open(make_request("r2"), 1.3))
    [refused] = ledger.on_send_failed(SendFailed(to="e3", message=copy), 1.3)
    assert isinstance(refused, BillRefused)
    assert (refused.problem.kind, refused.problem.ran) == (Kind.BILLING_FULL, Ran.NO)


def test_full_ledger_admits_nothing() -> None:
    ledger = make_ledger(FAR, max_unsettled=1)
    assert ledger.may_admit(1.0) is None
    open_bill(ledger, "r1")
    problem = ledger.may_admit(1.0)
    assert problem is not None
    assert (problem.kind, problem.ran) == (Kind.BILLING_FULL, Ran.NO)


def test_full_peers_refuse_new_bills() -> None:
    ledger = make_ledger(NEAR, FAR)
    first = get_copy(ledger.open(make_request("r1"), 1.0))
    effects = ledger.on_message("e3", BillsCopied(batch=first.batch, full=True), 1.0)
    second = get_copy(effects)
    effects = ledger.on_message("e2", BillsCopied(batch=second.batch, full=True), 1.0)
    assert isinstance(effects[0], BillRefused)


def test_failed_append_is_repeated_under_the_same_id() -> None:
    ledger = make_ledger(FAR)
    open_bill(ledger, "r1")
    [append] = get_appends(ledger.close("r1", DONE, 1.1))
    failed = AppendFailed(stream=Stream.BILLS, id=append.id, definite=False)
    ledger.on_append_failed(failed, 1.2)
    assert get_appends(ledger.tick(1.5)) == []
    assert get_appends(ledger.tick(2.5)) == [append]
    done = Appended(stream=Stream.BILLS, id=append.id, offset=1)
    ledger.on_appended(done, 2.6)
    assert len(ledger) == 0


def test_outage_is_probed_by_one_append() -> None:
    ledger = make_ledger(FAR)
    for number in range(5):
        open_bill(ledger, f"r{number}")
    appends = [
        get_appends(ledger.close(f"r{number}", DONE, 1.1))[0] for number in range(5)
    ]
    for append in appends:
        failed = AppendFailed(stream=Stream.BILLS, id=append.id, definite=True)
        ledger.on_append_failed(failed, 1.2)
    [probe] = get_appends(ledger.tick(2.5))
    done = Appended(stream=Stream.BILLS, id=probe.id, offset=1)
    assert len(get_appends(ledger.on_appended(done, 2.6))) == 4


def test_repeats_of_a_key_share_one_append() -> None:
    ledger = make_ledger()
    ledger.open(make_request("r1", key="k"), 1.0)
    ledger.open(make_request("r2", key="k"), 1.0)
    [append] = get_appends(ledger.close("r1", DONE, 1.1))
    assert ledger.close("r2", DONE, 1.1) == []
    done = Appended(stream=Stream.BILLS, id=append.id, offset=1)
    ledger.on_appended(done, 1.2)
    assert len(ledger) == 0


def test_cancelled_request_is_not_billed() -> None:
    ledger = make_ledger(FAR)
    open_bill(ledger, "r1")
    ledger.cancel("r1", 1.1)
    assert get_copy(ledger.tick(2.0)).drops == ["r1"]
    assert ledger.close("r1", DONE, 2.1) == []


def test_peer_settles_for_a_dead_owner_after_the_bound() -> None:
    owner, peer = make_ledger(FAR), Ledger(incarnation="e3", failure_domain="south")
    peer.set_peers([Peer(name="e1", failure_domain="north")], 0.0)
    peer.on_message("e1", get_copy(owner.open(make_request("r1"), 1.0)), 1.0)
    peer.set_peers([], 2.0)
    assert get_appends(peer.tick(31.0)) == []
    [append] = get_appends(peer.tick(32.5))
    assert b'"outcome":"unknown"' in append.body
    assert b'"cost":5.0' in append.body


def test_owner_that_is_heard_again_settles_itself() -> None:
    owner, peer = make_ledger(FAR), Ledger(incarnation="e3", failure_domain="south")
    peer.on_message("e1", get_copy(owner.open(make_request("r1"), 1.0)), 1.0)
    peer.set_peers([], 2.0)
    peer.set_peers([Peer(name="e1", failure_domain="north")], 20.0)
    assert get_appends(peer.tick(60.0)) == []


def test_leaving_owner_settles_itself() -> None:
    owner, peer = make_ledger(FAR), Ledger(incarnation="e3", failure_domain="south")
    peer.on_message("e1", get_copy(owner.open(make_request("r1"), 1.0)), 1.0)
    leaving = Peer(name="e1", failure_domain="north", is_leaving=True)
    peer.set_peers([leaving], 2.0)
    assert get_appends(peer.tick(60.0)) == []


def test_old_batch_does_not_bring_a_dropped_copy_back() -> None:
    owner, peer = make_ledger(FAR), Ledger(incarnation="e3", failure_domain="south")
    copy = get_copy(owner.open(make_request("r1"), 1.0))
    peer.on_message("e1", copy, 1.0)
    drop = CopyBills(
        owner="e1", batch=copy.batch + 1, opens=[], closes=[], drops=["r1"]
    )
    peer.on_message("e1", drop, 1.1)
    peer.on_message("e1", copy, 1.2)
    assert peer.describe()["copies"] == 0


def test_hand_over_waits_for_the_acknowledgement() -> None:
    ledger = make_ledger(FAR)
    open_bill(ledger, "r1")
    open_bill(ledger, "r2")
    [append] = get_appends(ledger.close("r1", DONE, 1.1))
    failed = AppendFailed(stream=Stream.BILLS, id=append.id, definite=True)
    ledger.on_append_failed(failed, 1.2)
    [send] = ledger.hand_over(2.0)
    assert isinstance(send.message, HandOverBills)
    assert [bill.request_id for bill in send.message.bills] == ["r1"]
    ledger.on_message("e3", BillsTaken(batch=send.message.batch), 2.1)
    assert len(ledger) == 1
    assert not ledger.is_settled
