"""Check tokens, the choice of versions and who remembers a session."""

from __future__ import annotations

import base64

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabthread.core.configuration.configuration import (
    Account,
    Configuration,
    Service,
    ServiceKind,
    Version,
    VersionState,
)
from baobabthread.core.membership.messages import MemberInfo
from baobabthread.core.rendezvous import choose
from baobabthread.core.sessions.sessions import (
    Holders,
    Moved,
    MoveReason,
    NamedSession,
    NoVersion,
    Pin,
    Pinned,
    SessionKey,
    SessionKeyRing,
    SessionTable,
    Started,
    choose_holders,
    name_session,
    resolve,
)
from baobabthread.core.sessions.transfers import SessionTransfers

OLD = SessionKey(id="k1", secret=b"1" * 32)
NEW = SessionKey(id="k2", secret=b"2" * 32)
PIN = Pin(account="a", service="s", version="v1", generation=3, expires_at=100.0)


def write_configuration(
    states: dict[str, VersionState], *, allowed: list[str] | None = None
) -> Configuration:
    versions = {
        name: Version(service="s", model="m", cost=1.0, state=state)
        for name, state in states.items()
    }
    return Configuration(
        generation=1,
        services={"s": Service(kind=ServiceKind.MODEL, cascade=sorted(versions))},
        versions=versions,
        accounts={"a": Account(key_sha256="", services=["s"], versions=allowed or [])},
        backends={},
        rollouts={},
        operators={},
    )


def test_honour_tokens_of_both_keys_until_they_end() -> None:
    before = SessionKeyRing(current=OLD)
    during = SessionKeyRing(current=NEW, previous=(OLD,))
    after = SessionKeyRing(current=NEW)
    assert during.open(before.seal(PIN), now=99.9) == PIN
    assert after.open(during.seal(PIN), now=99.9) == PIN
    assert after.open(before.seal(PIN), now=0) is None
    assert during.open(during.seal(PIN), now=100) is None


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.data())
def test_refuse_every_altered_token(data: st.DataObject) -> None:
    ring = SessionKeyRing(current=NEW, previous=(OLD,))
    token = ring.seal(PIN)
    start = data.draw(st.integers(0, len(token)))
    end = data.draw(st.integers(start, len(token)))
    altered = token[:start] + data.draw(st.text(max_size=9)) + token[end:]
    if altered != token:
        assert ring.open(altered, now=0) is None


def test_refuse_an_equivalent_spelling() -> None:
    """The last character of the signature holds bits that decoding would ignore."""
    ring = SessionKeyRing(current=NEW)
    token = ring.seal(PIN)
    assert ring.open(token + "=", now=0) is None
    forged = base64.urlsafe_b64encode(msgspec.json.encode(PIN)).decode()
    assert ring.open(f"b1.k2.{forged}.", now=0) is None


@pytest.mark.parametrize(
    ("state", "allowed", "quarantined", "expected"),
    [
        ("offered", None, (), Pinned(version="v1")),
        ("draining", None, (), Pinned(version="v1")),
        ("withdrawn", None, (), ("v2", MoveReason.WITHDRAWN)),
        ("offered", None, ("v1",), ("v2", MoveReason.WITHDRAWN)),
        ("offered", ["v2"], (), ("v2", MoveReason.NOT_ALLOWED)),
    ],
)
def test_keep_a_session_unless_it_must_move(
    state: str,
    allowed: list[str] | None,
    quarantined: tuple[str, ...],
    expected: object,
) -> None:
    states = {"v1": VersionState(state), "v2": VersionState.OFFERED}
    outcome = resolve(
        configuration=write_configuration(states, allowed=allowed),
        account_name="a",
        service="s",
        session="x",
        pinned="v1",
        shares={"v1": 1.0, "v2": 0.0},
        quarantined=frozenset(quarantined),
    )
    if isinstance(expected, tuple):
        version, reason = expected
        expected = Moved(version=version, old="v1", reason=reason)
    assert outcome == expected


def test_start_on_offered_versions_only() -> None:
    draining = write_configuration({"v1": VersionState.DRAINING})
    arguments = {"account_name": "a", "service": "s", "session": "x", "pinned": None}
    none = resolve(configuration=draining, shares={"v1": 1.0}, **arguments)
    assert isinstance(none, NoVersion)
    offered = write_configuration({"v1": VersionState.OFFERED})
    started = resolve(configuration=offered, shares={"v1": 1.0}, **arguments)
    assert started == Started(version="v1")


def test_move_only_what_a_growing_share_attracts() -> None:
    keys = [f"k{index}" for index in range(2_000)]
    before = {key: choose(key, {"old": 0.95, "new": 0.05}) for key in keys}
    after = {key: choose(key, {"old": 0.75, "new": 0.25}) for key in keys}
    assert all(after[key] == "new" for key in keys if before[key] == "new")
    share = sum(version == "new" for version in after.values()) / len(keys)
    assert 0.22 < share < 0.28


def _member(name: str, domain: str) -> MemberInfo:
    return MemberInfo(
        name=name,
        address=name,
        peer_address=name,
        failure_domain=domain,
        incarnation=name,
        started_at=0,
    )


def test_hold_a_copy_in_another_failure_domain() -> None:
    members = [_member(f"e{n}", f"d{n % 4}") for n in range(6)]
    domains = {member.name: member.failure_domain for member in members}
    for index in range(100):
        name = f"session-{index}"
        holders = choose_holders(account="a", service="s", name=name, serving=members)
        assert holders is not None
        assert holders.copy is not None
        assert domains[holders.owner] != domains[holders.copy]
        left = [m for m in members if m.name != holders.owner]
        again = choose_holders(account="a", service="s", name=name, serving=left)
        assert again is not None
        kept = [m for m in members if m.name not in (holders.owner, holders.copy)]
        assert again.owner in (holders.copy, *(m.name for m in kept))


def test_bound_the_table_and_keep_the_newest() -> None:
    table = SessionTable(limit=3)
    for index in range(9):
        table.put(NamedSession(name=f"n{index}", pin=PIN))
    assert len(table) == 3
    moved = NamedSession(
        name="n8", pin=msgspec.structs.replace(PIN, version="v2"), sequence=1
    )
    assert table.put(moved) == moved
    assert table.put(NamedSession(name="n8", pin=PIN)) == moved
    found = table.get(account="a", service="s", name="n8", now=0)
    assert found == moved
    assert table.get(account="a", service="s", name="n8", now=100) is None


class Holding:
    """Keep one table and its transfers for each entry."""

    def __init__(self) -> None:
        self.tables: dict[str, SessionTable] = {}
        self.transfers: dict[str, SessionTransfers] = {}

    def change(self, members: list[MemberInfo]) -> int:
        """Let every entry see who serves now; return how many messages followed."""
        for member in members:
            table = self.tables.setdefault(member.name, SessionTable())
            self.transfers.setdefault(
                member.name, SessionTransfers(me=member.name, table=table)
            )
        sent = 0
        for name, transfers in self.transfers.items():
            transfers.observe(members)
            while effects := transfers.step():
                for effect in effects:
                    sent += 1
                    assert effect.to != name
                    self.tables[effect.to].put(effect.message.session)
        return sent

    def count_held(
        self, sessions: list[NamedSession], members: list[MemberInfo]
    ) -> int:
        return sum(
            self.tables[name].find(name_session(session)) is not None
            for session in sessions
            for holders in [_choose(session, members)]
            for name in (holders.owner, holders.copy)
            if name is not None
        )


def _choose(session: NamedSession, members: list[MemberInfo]) -> Holders:
    holders = choose_holders(
        account=session.pin.account,
        service=session.pin.service,
        name=session.name,
        serving=members,
    )
    assert holders is not None
    return holders


def test_follow_the_holders_when_members_change() -> None:
    """An entry joins and becomes the owner of sessions that it never heard of.

    It would answer so, and the sessions would begin again on another version. The
    former holders send it what it lacks; later one of them dies and the copies do.
    """
    members = [_member(f"e{n}", f"d{n % 4}") for n in range(6)]
    holding = Holding()
    holding.change(members[:5])
    sessions = [NamedSession(name=f"s{n}", pin=PIN) for n in range(300)]
    for session in sessions:
        holders = _choose(session, members[:5])
        for name in filter(None, (holders.owner, holders.copy)):
            holding.tables[name].put(session)
    for present in (members[:5], members, members[1:], members[2:]):
        holding.change(present)
        assert holding.count_held(sessions, present) == 600


def test_let_the_first_beginning_win_everywhere() -> None:
    first = NamedSession(name="n", pin=PIN)
    again = msgspec.structs.replace(PIN, version="v0", generation=9, expires_at=130.0)
    for order in ([0, 1], [1, 0]):
        table = SessionTable()
        for index in order:
            table.put([first, NamedSession(name="n", pin=again)][index])
        assert table.get(account="a", service="s", name="n", now=0) == first
