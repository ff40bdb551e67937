"""Tests of how instances tell each other what is held, without sockets."""

from __future__ import annotations

import time

import msgspec

from baobabthread.instance import quarantine as module
from baobabthread.instance.clock import now
from baobabthread.instance.quarantine import (
    QuarantineCoordinator,
    QuarantineDigest,
    QuarantineEntries,
)
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import RolloutOrder, RolloutState, RolloutStatus
from baobabthread.routing.crashes import SETTLE_S, Crash
from baobabthread.routing.quarantine import QuarantineEntry
from baobabthread.routing.versions import VersionPlan


class Told:
    """Keep what a desk sends."""

    def __init__(self) -> None:
        self.words: list[tuple[str, msgspec.Struct]] = []

    def tell(self, to: str, word: msgspec.Struct) -> None:
        """Keep one message."""
        self.words.append((to, word))

    def entries(self) -> list[QuarantineEntry]:
        """Return the entries of all messages."""
        found = [word for _, word in self.words if isinstance(word, QuarantineEntries)]
        return [held for word in found for held in word.entries]


def make_desk() -> tuple[QuarantineCoordinator, Told]:
    told = Told()
    desk = QuarantineCoordinator(me="a", send=told.tell)
    desk.set_members(["a", "b", "c", "d"])
    desk.has_complete_list = True
    return desk, told


def make_held(fingerprint: str = "f1", **more: object) -> QuarantineEntry:
    fields: dict[str, object] = {"service": "s", "times": 1, "left_s": 60.0}
    return QuarantineEntry(fingerprint=fingerprint, **(fields | more))  # type: ignore[arg-type]


def test_say_nothing_while_nothing_is_held() -> None:
    desk, told = make_desk()
    for _ in range(5):
        desk.tick()
    assert told.words == []


def test_hold_nothing_once_the_version_that_crashed_was_taken_back() -> None:
    """The version is taken back between its last crash and a judge's look at it.

    Judges look one after the other; a later one took it for a version that serves.
    """
    desk, _ = make_desk()
    plan = VersionPlan(service="s", bounds=RoutingBounds())
    order = RolloutOrder(number=1, service="s", target="v2", time_limit_s=60.0)
    plan.apply_order(order, now())
    desk.is_canary = lambda service, version: plan.is_unproven(version)
    for number in range(3):
        desk.handle_crash(
            Crash(
                backend=f"b{number}",
                service="s",
                version="v2",
                is_proven=False,
                fresh=["f1"],
                older=[],
            )
        )
    status = RolloutStatus(
        service="s", target="v2", state=RolloutState.REVERTED, number=1
    )
    plan.apply_status(status, now())
    time.sleep(SETTLE_S + module.OWNER_COUNT * module.OWNER_STAGGER_S)
    desk.tick()
    assert not desk.has_entries


def test_object_to_what_was_answered_here() -> None:
    """A judge holds a popular request that this instance answered a moment ago.

    The objection must be what is told on, not the entry that it is about.
    """
    desk, told = make_desk()
    desk.was_answered = lambda fingerprint: fingerprint == "f1"
    desk.handle_entries("b", QuarantineEntries(entries=[make_held()]))
    assert desk.find("f1") is None
    assert told.entries()
    assert all(held.is_cleared for held in told.entries())


def test_tell_only_what_a_neighbour_lacks() -> None:
    desk, told = make_desk()
    desk.handle_entries(
        "b", QuarantineEntries(entries=[make_held("f1"), make_held("f2")])
    )
    desk.handle_entries(
        "b", QuarantineEntries(entries=[make_held("f2")], wants_reply=True)
    )
    assert [held.fingerprint for held in told.entries()] == ["f1"]


def test_answer_a_list_that_differs_and_whoever_asks() -> None:
    desk, told = make_desk()
    desk.handle_digest("b", QuarantineDigest(digest=desk.quarantine.digest))
    assert told.words == []
    desk.handle_digest("b", QuarantineDigest(digest=desk.quarantine.digest, asks=True))
    desk.handle_entries("c", QuarantineEntries(entries=[make_held()]))
    desk.handle_digest("d", QuarantineDigest(digest=0))
    (first, asked), (second, differs) = told.words
    assert (first, second) == ("b", "d")
    assert isinstance(asked, QuarantineEntries)
    assert asked.is_complete
    assert not asked.wants_reply
    assert isinstance(differs, QuarantineEntries)
    assert differs.wants_reply


def test_read_the_store_where_no_peer_tells() -> None:
    desk, told = make_desk()
    desk.has_complete_list = False
    desk.tick()
    assert [type(word) for _, word in told.words] == [QuarantineDigest]
    assert not desk.must_read_store
    desk._started_at -= module.PEER_LIST_TIMEOUT_S + 0.1
    assert desk.must_read_store
    desk.handle_entries("b", QuarantineEntries(entries=[], is_complete=True))
    assert not desk.must_read_store


def test_tell_that_a_request_is_let_go_after_it_was_judged() -> None:
    """The judge itself answered the request after its third crash.

    It holds it and lets it go in the same moment: told last must be that it is let go.
    """
    desk, told = make_desk()
    desk.set_members(["a", "b"])
    for number in range(3):
        crash = Crash(
            backend=f"e{number}",
            service="s",
            version="v1",
            is_proven=True,
            fresh=["f1"],
            older=[],
        )
        desk.report_crash(crash)
    desk.was_answered = lambda fingerprint: True
    time.sleep(SETTLE_S + module.OWNER_STAGGER_S + 0.05)
    desk.tick()
    assert [held.is_cleared for held in told.entries()] == [True]
