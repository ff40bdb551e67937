"""Tests of what instances tell each other about suspected features."""

from __future__ import annotations

import msgspec

from baobabthread.instance.clock import now
from baobabthread.instance.suspicion import (
    FeaturesAnswered,
    SuspectsQuery,
    SuspectWatch,
)
from baobabthread.routing.crashes import SuspectedFeature


class Replies:
    """Record what a watch reports to the owners."""

    def __init__(self) -> None:
        self.features: list[list[str]] = []

    def send(self, service: str, message: msgspec.Struct) -> None:
        """Record one report."""
        assert isinstance(message, FeaturesAnswered)
        self.features.append(sorted(message.began_s))


def make_watch() -> tuple[SuspectWatch, Replies]:
    replies = Replies()
    return SuspectWatch(send_to_owners=replies.send), replies


def make_query(*features: str, is_repeated: bool = True) -> SuspectsQuery:
    return SuspectsQuery(
        service="s",
        features=list(features),
        first_crash_s=[1.0] * len(features),
        repeated=[is_repeated] * len(features),
    )


def test_report_the_first_later_answer() -> None:
    """An owner holds a sound part as other instances alone saw it answered."""
    watch, replies = make_watch()
    watch.handle_query(make_query("p.a", "p.b"))
    watch.record_answered(["p.a"], now() - 5.0)
    assert replies.features == []
    watch.record_answered(["p.a", "p.c"], now())
    watch.record_answered(["p.a"], now())
    assert replies.features == [["p.a"]]


def test_report_what_was_answered_before_the_query() -> None:
    watch, replies = make_watch()
    began_at = {"p.a": now() - 0.5, "p.b": now() - 10.0, "p.c": now() - 1000.0}
    watch.find_answered = lambda feature: began_at.get(feature, -1e9)
    watch.handle_query(make_query("p.a", "p.b", "p.c", "p.d"))
    assert replies.features == [["p.a", "p.b"]]
    assert watch.count_parts() == 3


def test_suspect_parts_until_they_are_answered() -> None:
    """A request with a suspected part is sent to one server after the other."""
    watch, _ = make_watch()
    watch.handle_query(make_query("p.a", is_repeated=False))
    assert not watch.is_suspected(["p.a"])
    watch.handle_query(make_query("p.a"))
    assert watch.is_suspected(["p.x", "p.a"])
    watch.record_answered(["p.a"], now())
    assert not watch.is_suspected(["p.a"])


def test_ask_once_for_each_feature_and_first_crash() -> None:
    watch, _ = make_watch()
    suspected = SuspectedFeature(
        feature="p.a", service="s", first_crash_at=now() - 1.0, is_repeated=True
    )
    assert watch.select_unasked([suspected]) == [suspected]
    watch.handle_query(make_query("p.a"))
    assert watch.select_unasked([suspected]) == []
    again = msgspec.structs.replace(suspected, first_crash_at=now())
    assert watch.select_unasked([again]) == [again]
