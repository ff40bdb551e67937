"""Test what an entry does for others that answer nobody, and when they are back."""

from __future__ import annotations

import msgspec

from baobabthread.core.billing.ledger import Ledger
from baobabthread.core.billing.types import (
    BillOutcome,
    BillRecord,
    CopyBills,
    OpenBill,
    Peer,
)
from baobabthread.core.claims.claims import Claims
from baobabthread.core.claims.types import ClaimRequest, Forward, Refuse
from baobabthread.core.events import Tick
from baobabthread.core.membership.messages import (
    Digest,
    MemberInfo,
    MemberState,
    Probe,
)
from baobabthread.core.messages import Append, Appended, Effects, Received, Stream
from tests.core.lone import Lone

OWNER = Peer(name="e1", failure_domain="south")
OTHER = Peer(name="e3", failure_domain="south")


def hold_copy() -> Ledger:
    """Return the ledger of an entry that holds a copy of an open bill of e1."""
    ledger = Ledger(incarnation="e2", failure_domain="north")
    ledger.set_peers([OWNER, OTHER], 0.0)
    opened = OpenBill(
        request_id="r1",
        bill_id="a/request/r1",
        account="a",
        service="s",
        estimate=5.0,
        opened_s=1.0,
    )
    copy = CopyBills(owner="e1", batch=1, opens=[opened], closes=[], drops=[])
    ledger.on_message("e1", copy, 1.0)
    return ledger


def list_bills(effects: Effects) -> list[BillRecord]:
    return [
        msgspec.json.decode(e.body, type=BillRecord)
        for e in effects
        if isinstance(e, Append)
    ]


def test_stopping_entry_settles_for_a_silent_owner() -> None:
    """Stop an entry whose peer was killed a moment before.

    The caller of e1 has its answer, and e1 is killed before it appended the bill. The
    only copy is at e2, which stops gracefully while e1 is only suspected. Nobody else
    will ever know of that bill, so e2 must append it before it ends.
    """
    ledger = hold_copy()
    [bill] = list_bills(ledger.hand_over(3.0, silent={"e1"}))
    assert (bill.bill_id, bill.outcome) == ("a/request/r1", BillOutcome.UNKNOWN)
    assert not ledger.is_settled


def test_stopping_entry_leaves_a_live_owner_its_bills() -> None:
    ledger = hold_copy()
    assert list_bills(ledger.hand_over(3.0)) == []


def test_keys_of_a_returned_owner_are_passed_on_again() -> None:
    """Cut an owner off until it is held dead, and let it return.

    A volunteer repeats a warning under a key that is bound to e1. While e1 is held dead
    the answer is that it may have run. Once e1 has answered again it is asked, because
    it knows what became of the warning.
    """
    claims = Claims(incarnation="e2.1")
    request = ClaimRequest(
        request_id="r1", account="a", key="e1.1/warning-1", body_hash="h"
    )
    claims.mark_gone("e1.1")
    [refusal] = claims.begin(request, 1.0)
    assert isinstance(refusal, Refuse)
    claims.mark_returned("e1.1")
    [forward] = claims.begin(request, 2.0)
    assert forward == Forward(request_id="r1", incarnation="e1.1")


def test_closed_bill_of_a_dead_owner_is_appended_at_once() -> None:
    """Kill an entry, and a few seconds later the one that holds its copies.

    The caller of e1 has its answer and the bill is closed, with its true cost, but e1
    dies before its append. The holder e2 waited 30 s before it settled anything for
    e1; it died within them, and with it the last that was known of the bill.
    """
    ledger = hold_copy()
    closed = BillRecord(
        request_id="r1",
        bill_id="a/request/r1",
        account="a",
        service="s",
        outcome=BillOutcome.ANSWERED,
        cost=2.0,
        tokens=20,
        opened_s=1.0,
        settled_by="e1",
    )
    copy = CopyBills(owner="e1", batch=2, opens=[], closes=[closed], drops=[])
    ledger.on_message("e1", copy, 2.0)
    ledger.set_peers([OTHER], 5.0)
    [bill] = list_bills(ledger.tick(5.1))
    assert (bill.bill_id, bill.cost) == ("a/request/r1", 2.0)
    ledger.on_appended(Appended(stream=Stream.BILLS, id=bill.bill_id, offset=1), 5.2)
    assert list_bills(ledger.tick(36.0)) == []


def describe(*, state: MemberState = MemberState.ALIVE, counter: int = 0) -> MemberInfo:
    return MemberInfo(
        name="e9",
        address="127.0.0.1:9",
        peer_address="127.0.0.1:10",
        failure_domain="south",
        incarnation="e9.1",
        started_at=0.5,
        state=state,
        counter=counter,
    )


def hear(lone: Lone, member: MemberInfo) -> None:
    """Let the core hear a probe of a member."""
    probe = Probe(sequence=1, digest=Digest(sender=member))
    lone.core.handle(Received(sender=member.name, message=probe), lone.now)


def test_keys_of_an_owner_are_passed_on_as_soon_as_it_is_heard() -> None:
    """Cut an owner off until it is held dead, and heal the cut.

    Its first sign of life makes it a member again, and a caller repeats a warning in
    the same moment. Noted only at the next tick, its keys were answered for as those
    of a dead one: "may have run", where the owner knows the answer.
    """
    lone = Lone()
    hear(lone, describe())
    lone.core.control.membership.table.merge(
        describe(state=MemberState.DEAD, counter=1), lone.now
    )
    lone.core.handle(Tick(), lone.now)
    claims = lone.core.claims
    request = ClaimRequest(
        request_id="r1", account="metro", key="e9.1/warning-1", body_hash="h"
    )
    [refusal] = claims.begin(request, lone.now)
    assert isinstance(refusal, Refuse)
    hear(lone, describe(counter=2))
    [forward] = claims.begin(request, lone.now)
    assert forward == Forward(request_id="r1", incarnation="e9.1")
