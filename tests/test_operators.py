"""Tests of what operators ask of a running entry."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from baobabthread.adapters.operators import PublishBody
from tests.shell import ROOT_KEY, SECTION_KEY, Answer, Shell, list_members, run_case

PUBLISH = "/admin/publish"
SCREENS = """
[services.screens]
kind = "plain"
"""


async def publish(
    shell: Shell,
    text: str,
    *,
    section: str = "screens",
    key: str = ROOT_KEY,
    entry: int = 0,
    **body: Any,
) -> Answer:
    shell.published += 1
    fields = {"id": f"o{shell.published}", "section": section, "text": text, **body}
    return await shell.operate("POST", PUBLISH, body=fields, key=key, entry=entry)


def test_accepted_text_is_in_force_everywhere() -> None:
    async def case(shell: Shell) -> None:
        answer = await publish(shell, SCREENS)
        assert answer.status == 200
        generation = answer.json["generation"]
        await shell.wait_until(
            lambda: all(
                entry.core.control.fold.generation >= generation
                for entry in shell.entries
            )
        )
        for number in range(2):
            shown = await shell.operate("GET", "/admin/configuration", entry=number)
            texts = {each["name"]: each["text"] for each in shown.json["sections"]}
            assert texts["screens"] == SCREENS
            assert shown.json["generation"] == generation

    run_case(case, entries=2)


def test_conflict_shows_what_won() -> None:
    """Two operators edit the same generation of a section; both publish.

    The first in the log is accepted. The second is told which generation by whom
    stands and what to do, and its text is nowhere in force.
    """

    async def case(shell: Shell) -> None:
        answers = await asyncio.gather(
            *(
                publish(shell, f"{SCREENS}# {number}", base=0, entry=number)
                for number in range(2)
            )
        )
        lost, won = sorted(answers, key=lambda each: -each.status)
        assert won.status == 200
        assert lost.status == 409
        assert lost.json["kind"] == "conflict"
        assert lost.json["ran"] == "no"
        generation = str(won.json["generation"])
        assert f"generation {generation} by 'root'" in lost.json["detail"]
        assert generation in lost.json["remedy"]

    run_case(case, entries=2)


def test_old_base_is_a_conflict() -> None:
    async def case(shell: Shell) -> None:
        first = await publish(shell, SCREENS)
        again = await publish(shell, SCREENS + "# 2", base=first.json["generation"])
        late = await publish(shell, SCREENS + "# 3", base=first.json["generation"])
        assert [first.status, again.status, late.status] == [200, 200, 409]

    run_case(case)


INVALID = [
    ("not = [toml", "text", ""),
    ("[services.a]\n", "services", "kind"),
    ('[services.a]\nkind = "model"\n', "services.a.cascade", "list"),
    (
        '[services.a]\nkind = "plain"\ndepends_on = ["a"]\n',
        "services.a.depends_on",
        "remove",
    ),
    (
        '[services.a]\nkind = "plain"\ndepends_on = ["nobody"]\n',
        "services.a.depends_on",
        "define",
    ),
    (
        '[versions.v]\nservice = "bulletins"\nmodel = "m"\ncost = -1.0\n',
        "versions.v.cost",
        "from 0",
    ),
    ('[services.warnings]\nkind = "plain"\n', "services.warnings", "rename"),
]


@pytest.mark.parametrize("text, field, remedy", INVALID)
def test_invalid_text_names_field_and_remedy(
    text: str, field: str, remedy: str
) -> None:
    async def case(shell: Shell) -> None:
        before = shell.entries[0].core.control.fold.generation
        answer = await publish(shell, text)
        assert answer.status == 422
        assert answer.json["kind"] == "invalid_configuration"
        assert answer.json["detail"].startswith(field)
        assert remedy in answer.json["detail"] + answer.json["remedy"]
        assert answer.json["remedy"]
        assert shell.entries[0].core.control.fold.generation == before
        assert (await shell.chat()).status == 200

    run_case(case)


def test_huge_text_is_refused_and_disturbs_nobody() -> None:
    async def case(shell: Shell) -> None:
        refused, served = await asyncio.gather(
            publish(shell, "# " + "x" * 10_000_000), shell.chat()
        )
        assert refused.status == 413
        assert refused.json["kind"] == "too_large"
        assert served.status == 200

    run_case(case)


def test_text_over_the_bound_of_texts_is_refused() -> None:
    async def case(shell: Shell) -> None:
        refused = await publish(shell, "# " + "x" * 1_000_000)
        assert refused.status == 422
        assert refused.json["detail"].startswith("text")
        assert "sections" in refused.json["remedy"]

    run_case(case)


def test_operator_publishes_only_its_sections() -> None:
    async def case(shell: Shell) -> None:
        own = await publish(shell, SCREENS, key=SECTION_KEY)
        other = await publish(shell, "", section="all", key=SECTION_KEY)
        assert own.status == 200
        assert other.status == 403
        assert other.json["kind"] == "forbidden"
        assert "screens" in other.json["remedy"]

    run_case(case)


@pytest.mark.parametrize("path", ["/state", "/admin/bills", "/admin/configuration"])
@pytest.mark.parametrize("key", ["", "KEY-OF-nadia", "wrong", "\u0995\u09b2"])
def test_unknown_operator_is_refused(path: str, key: str) -> None:
    async def case(shell: Shell) -> None:
        answer = await shell.operate("GET", path, key=key)
        assert answer.status == 401
        assert "operator" in answer.json["remedy"] or "key" in answer.json["remedy"]

    run_case(case)


BODIES: list[tuple[Any, str]] = [
    ({}, "id"),
    ({"id": "x", "section": "s"}, "text"),
    ({"id": "", "section": "s", "text": ""}, "id"),
    ({"id": "x y", "section": "s", "text": ""}, "id"),
    ({"id": "x", "section": "s/../t", "text": ""}, "section"),
    ({"id": "x", "section": "s", "text": "", "base": -1}, "base"),
    ({"id": "x", "section": "s", "text": 5}, "text"),
    ({"id": "x", "section": "s", "text": "", "more": 1}, "more"),
    ([], "publish"),
]


@pytest.mark.parametrize("body, field", BODIES)
def test_malformed_publish_names_its_field(body: Any, field: str) -> None:
    async def case(shell: Shell) -> None:
        raw = msgspec.json.encode(body)
        answer = await shell.operate("POST", PUBLISH, raw=raw)
        assert answer.status == 400
        assert field in answer.json["detail"]

    run_case(case)


def test_second_publish_under_a_running_id_is_refused() -> None:
    """An operator's tool sends the same publish twice, the second before an answer.

    The first is answered as if it were alone. The second is told that the id is in
    use, at once; neither is left without an answer.
    """

    async def case(shell: Shell) -> None:
        body = {"id": "same", "section": "screens", "text": SCREENS}
        answers = await asyncio.gather(
            *(shell.operate("POST", PUBLISH, body=body) for _ in range(2))
        )
        assert sorted(answer.status for answer in answers) == [200, 409]

    run_case(case)


def test_repeat_of_a_publish_is_accepted_once() -> None:
    """An operator's tool repeats a publish whose answer was lost.

    The record is in the log already. Its repeat under the same id must not look like
    a conflict with itself, nor be a generation of its own.
    """

    async def case(shell: Shell) -> None:
        first = await publish(shell, SCREENS, id="same", base=0)
        again = await publish(shell, SCREENS, id="same", base=0)
        assert first.status == 200
        assert (again.status, again.json) == (200, first.json)

    run_case(case)


def test_reused_id_is_no_acceptance_of_another_text() -> None:
    """An operator publishes another text under an id that was accepted before.

    The log's fold drops the second record of an id. The answer must not be the
    acceptance of the first: the second text is nowhere in force.
    """

    async def case(shell: Shell) -> None:
        first = await publish(shell, SCREENS, id="same")
        other = await publish(shell, SCREENS + "# 2", id="same")
        assert first.status == 200
        assert other.status == 409
        assert "fresh id" in other.json["remedy"]
        shown = await shell.operate("GET", "/admin/configuration")
        texts = {each["name"]: each["text"] for each in shown.json["sections"]}
        assert texts["screens"] == SCREENS

    run_case(case)


def test_publish_in_an_outage_of_the_log_says_so() -> None:
    """The log is down while an operator publishes.

    The entry tries until its limit, then says that the text was not published, or
    that this is unknown; it never claims a generation.
    """

    async def case(shell: Shell) -> None:
        shell.fleet.platform.log.set_faults({"outage": True})
        answer = await publish(shell, SCREENS)
        assert answer.status == 503
        assert answer.json["kind"] == "log_unavailable"
        assert answer.json["ran"] in {"no", "unknown"}
        assert answer.headers["Retry-After"]

    run_case(case)


def test_bills_in_an_outage_of_the_log_say_so() -> None:
    async def case(shell: Shell) -> None:
        shell.fleet.platform.log.set_faults({"outage": True})
        answer = await shell.operate("GET", "/admin/bills")
        assert answer.status == 503
        assert answer.json["kind"] == "log_unavailable"
        assert answer.json["remedy"]

    run_case(case)


def test_bills_count_each_request_once() -> None:
    async def case(shell: Shell) -> None:
        for number in range(6):
            answer = await shell.chat(model="small-1", entry=number % 2)
            assert answer.status == 200
        await shell.wait_until(
            lambda: all(entry.core.ledger.is_settled for entry in shell.entries)
        )
        bills = (await shell.operate("GET", "/admin/bills")).json
        total = bills["accounts"]["nadia"]
        assert total["bills"] == 6
        assert total["cost"] == pytest.approx(6 * 12 / 1000)
        assert total["unknown"] == 0

    run_case(case, entries=2)


def test_generations_name_every_entry() -> None:
    async def case(shell: Shell) -> None:
        generation = shell.entries[0].core.control.fold.generation
        await shell.wait_until(
            lambda: not shell.entries[0].core.control.membership.unconfirmed(generation)
        )
        status = (await shell.operate("GET", "/admin/generations")).json
        assert status["generation"] == generation
        assert list_members(status["entries"]) == ["e1", "e2"]
        assert {row["generation"] for row in status["entries"]} == {generation}
        assert status["behind"] == []

    run_case(case, entries=2)


def test_rollouts_show_versions_and_moves() -> None:
    async def case(shell: Shell) -> None:
        text = (
            f'{shell.text}\n[rollouts.small]\nservice = "bulletins"\n'
            'old = "small-1"\nnew = "small-2"\nhold_s = 3600\n'
        )
        await shell.publish(text)
        status = (await shell.operate("GET", "/admin/rollouts")).json
        assert status["versions"]["small-2"] == {
            "service": "bulletins",
            "state": "offered",
        }
        await shell.wait_until(
            lambda: bool(shell.entries[0].core.conductors.describe(0.0))
        )
        status = (await shell.operate("GET", "/admin/rollouts")).json
        assert "small" in str(status["rollouts"])
        assert status["barred"] == []

    run_case(case)


def test_state_is_dumped() -> None:
    async def case(shell: Shell) -> None:
        answer = await shell.operate("GET", "/state")
        state = answer.json
        assert state["name"] == "e1"
        assert state["freshness"] == "fresh"
        assert state["open_requests"] == 0
        assert list_members(state["members"]) == ["e1"]
        for part in ("claims", "ledger", "backends", "generation", "incarnation"):
            assert part in state

    run_case(case)


@pytest.mark.parametrize(
    "method, path",
    [
        ("GET", PUBLISH),
        ("POST", "/state"),
        ("PUT", "/admin/configuration"),
        ("GET", "/admin/secrets"),
        ("DELETE", "/admin/"),
    ],
)
def test_wrong_path_or_method_names_the_right_ones(method: str, path: str) -> None:
    async def case(shell: Shell) -> None:
        answer = await shell.operate(method, path)
        assert answer.status == 404
        assert PUBLISH in answer.json["remedy"]

    run_case(case)


@pytest.mark.parametrize("section", ["all", "Kalbaishakhi-2", "a.b_c"])
def test_section_names_are_taken(section: str) -> None:
    raw = msgspec.json.encode({"id": "x", "section": section, "text": ""})
    assert msgspec.json.decode(raw, type=PublishBody).section == section
