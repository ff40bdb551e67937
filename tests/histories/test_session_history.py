"""Check histories of sessions against the states that their versions had.

Operators drain, withdraw and offer versions and move shares while callers repeat
sessions through entries that have not all folded the same text. A session leaves its
version only where that entry's text withdrew or forbade it, and is told so.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from baobabthread.core.configuration.configuration import Configuration, VersionState
from baobabthread.core.rendezvous import choose
from baobabthread.core.sessions import sessions as sessions_module
from baobabthread.core.sessions.sessions import (
    Moved,
    NoVersion,
    Pin,
    Pinned,
    Started,
    resolve,
)
from baobabthread.core.sessions.tokens import SessionKey, SessionKeyRing
from tests.core.test_sessions import write_configuration
from tests.failures.mutants import Promise, ProofResult, mutant, proof

VERSIONS = ["v1", "v2", "v3"]
ENTRIES = st.integers(0, 2)
READERS = st.sets(ENTRIES)
SESSIONS = st.sampled_from(["s1", "s2", "s3", "s4"])
NO_SHARES = dict.fromkeys(VERSIONS, 1.0)


class SessionHistory(RuleBasedStateMachine):
    """Interleave operators and the sessions of one account at three entries."""

    @initialize()
    def begin(self) -> None:
        self.states = dict.fromkeys(VERSIONS, VersionState.OFFERED)
        self.allowed = list(VERSIONS)
        self.entries = [self._write() for _ in range(3)]
        self.shares = dict(NO_SHARES)
        self.tokens: dict[str, str] = {}
        self.model: dict[str, str] = {}
        self.keys = [SessionKey(id="k0", secret=b"0" * 16)]

    @rule(
        version=st.sampled_from(VERSIONS),
        state=st.sampled_from(VersionState),
        readers=READERS,
    )
    def set_state(self, version: str, state: VersionState, readers: set[int]) -> None:
        """Change a version; some entries fold it now, others with a later text."""
        self.states[version] = state
        self._fold(readers)

    @rule(
        allowed=st.lists(st.sampled_from(VERSIONS), unique=True, min_size=1),
        readers=READERS,
    )
    def set_allowed(self, allowed: list[str], readers: set[int]) -> None:
        """Change what the account allows."""
        self.allowed = allowed
        self._fold(readers)

    @rule(version=st.sampled_from(VERSIONS), share=st.sampled_from([0.0, 0.05, 1.0]))
    def set_share(self, version: str, share: float) -> None:
        self.shares[version] = share

    @rule()
    def rotate(self) -> None:
        """Seal with a new key; callers got a token by the previous one meanwhile."""
        number = len(self.keys)
        pins = {n: self._ring().open(t, now=0) for n, t in self.tokens.items()}
        self.tokens = {n: self._ring().seal(p) for n, p in pins.items() if p}
        self.keys.append(SessionKey(id=f"k{number}", secret=b"%16d" % number))

    @rule(entry=ENTRIES, session=SESSIONS)
    def ask(self, entry: int, session: str) -> None:
        """Let a caller send a request of a session through an entry."""
        text = self.entries[entry]
        before = self.model.get(session)
        outcome = resolve(
            configuration=text,
            account_name="a",
            service="s",
            session=session,
            pinned=self._find_pinned(session),
            shares=self.shares,
        )
        if isinstance(outcome, NoVersion):
            assert not self._list_startable(text)
            return
        self._check(outcome, text, before)
        self.model[session] = outcome.version
        pin = Pin(
            account="a",
            service="s",
            version=outcome.version,
            generation=text.generation,
            expires_at=1.0,
        )
        self.tokens[session] = self._ring().seal(pin)

    @invariant()
    def bound(self) -> None:
        """Keep tokens readable and equal to what their sessions were told."""
        for session, version in getattr(self, "model", {}).items():
            assert self._find_pinned(session) == version

    def _check(
        self, outcome: Started | Pinned | Moved, text: Configuration, before: str | None
    ) -> None:
        state = text.versions[outcome.version].state
        assert outcome.version in text.accounts["a"].versions
        assert state is not VersionState.WITHDRAWN
        may_stay = before is not None and self._is_usable(text, before)
        match outcome:
            case Pinned(version=version):
                assert version == before
            case Started():
                assert before is None
                assert state is VersionState.OFFERED
            case Moved(old=old):
                assert old == before
                assert not may_stay
                assert state is VersionState.OFFERED

    def _is_usable(self, text: Configuration, version: str) -> bool:
        withdrawn = text.versions[version].state is VersionState.WITHDRAWN
        return not withdrawn and version in text.accounts["a"].versions

    def _list_startable(self, text: Configuration) -> list[str]:
        return [
            name
            for name, version in text.versions.items()
            if version.state is VersionState.OFFERED
            and name in text.accounts["a"].versions
        ]

    def _fold(self, readers: set[int]) -> None:
        for entry in readers:
            self.entries[entry] = self._write()

    def _write(self) -> Configuration:
        return write_configuration(dict(self.states), allowed=list(self.allowed))

    def _ring(self) -> SessionKeyRing:
        return SessionKeyRing(current=self.keys[-1], previous=tuple(self.keys[-2:-1]))

    def _find_pinned(self, session: str) -> str | None:
        token = self.tokens.get(session)
        if token is None:
            return None
        pin = self._ring().open(token, now=0)
        return pin.version if pin else None


HISTORY = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    database=None,
    phases=[Phase.generate],
)


def _find_violations() -> list[str]:
    try:
        run_state_machine_as_test(SessionHistory, settings=HISTORY)
    except AssertionError as error:
        return [str(error) or "a session was not treated as promised"]
    return []


@proof("histories of sessions", Promise.SESSION, Promise.WITHDRAWN, Promise.ALLOWED)
def prove_sessions() -> ProofResult:
    """Replay histories of sessions at entries with unequal texts."""
    return ProofResult(histories=HISTORY.max_examples, violations=_find_violations())


def test_keep_versions_in_every_history() -> None:
    run_state_machine_as_test(SessionHistory, settings=HISTORY)


def _always(value: bool) -> Callable[..., bool]:
    return lambda *args, **kwargs: value


@mutant(
    "withdrawn versions keep their sessions",
    promise=Promise.WITHDRAWN,
    check=_find_violations,
)
def keep_withdrawn(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(sessions_module, "_is_in_use", _always(True))


@mutant(
    "a token outlives what its account allows",
    promise=Promise.ALLOWED,
    check=_find_violations,
)
def keep_forbidden(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(sessions_module, "_is_allowed", _always(True))


@mutant("shares move running sessions", promise=Promise.SESSION, check=_find_violations)
def ignore_pins(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(sessions_module, "may_keep", _always(False))


def find_forged() -> list[str]:
    """Alter each character of a token and look for one that is honoured."""
    ring = SessionKeyRing(current=SessionKey(id="k", secret=b"0" * 16))
    pin = Pin(account="a", service="s", version="v", generation=1, expires_at=9.0)
    token = ring.seal(pin)
    altered = [
        token[:i] + ("A" if token[i] != "A" else "B") + token[i + 1 :]
        for i in range(len(token))
    ]
    return [text for text in altered if ring.open(text, now=0) is not None]


def test_refuse_forged_tokens() -> None:
    assert find_forged() == []


@mutant("tokens are not verified", promise=Promise.ALLOWED, check=find_forged)
def skip_signature(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SessionKeyRing, "_is_sealed", _always(True))


def find_needless_moves() -> list[str]:
    """Raise a share and list the sessions that moved between the other versions."""
    found = []
    for index in range(500):
        key = f"a/s/{index}"
        before = choose(key, {"v1": 0.6, "v2": 0.35, "v3": 0.05})
        after = choose(key, {"v1": 0.6, "v2": 0.35, "v3": 0.5})
        if after not in (before, "v3"):
            found.append(f"{key} moved from {before} to {after}")
    return found


def test_move_no_session_needlessly() -> None:
    assert find_needless_moves() == []


def test_order_of_holders_is_no_matter() -> None:
    text = write_configuration(dict.fromkeys(VERSIONS, VersionState.OFFERED))
    backwards = msgspec.structs.replace(
        text, versions=dict(reversed(text.versions.items()))
    )
    for index in range(50):
        outcomes = [
            resolve(
                configuration=configuration,
                account_name="a",
                service="s",
                session=f"{index}",
                pinned=None,
                shares=shares,
            )
            for configuration in (text, backwards)
            for shares in (NO_SHARES, dict(reversed(NO_SHARES.items())))
        ]
        assert len(set(map(repr, outcomes))) == 1
