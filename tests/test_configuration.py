"""Tests of the checks that an operators' text must pass."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from baobabthread.core.configuration.configuration import (
    MAX_TEXT_BYTES,
    Configuration,
    Priority,
    SectionText,
    VersionState,
    merge_sections,
    parse_section,
)
from baobabthread.demo import read_example
from baobabthread.errors import ConfigurationError
from tests.shell import TEXT

HASH = "0" * 64
SERVICE = '[services.a]\nkind = "plain"\n'
MODEL = (
    '[services.m]\nkind = "model"\ncascade = ["v"]\n'
    '[versions.v]\nservice = "m"\nmodel = "x"\ncost = 1.0\n'
)
ACCOUNT = f'[accounts.c]\nkey_sha256 = "{HASH}"\nservices = ["a"]\n'
BACKEND = '[backends.b]\nservice = "a"\nfailure_domain = "d"\n'
ROLLOUT = '[rollouts.r]\nservice = "m"\nold = "v"\nnew = "v"\n'


def merge(*texts: str) -> Configuration:
    sections = {str(number): parse_section(text) for number, text in enumerate(texts)}
    return merge_sections(generation=1, sections=sections)


@pytest.mark.parametrize("name", ["association", "kalbaishakhi"])
def test_example_is_accepted(name: str) -> None:
    merged = merge(read_example(name))
    assert len(merged.accounts) == 10
    assert len(merged.backends) == 9


def test_examples_fit_together() -> None:
    merged = merge(read_example("association"), read_example("kalbaishakhi"))
    assert set(merged.services) == {"content", "screens", "bulletins", "warnings"}
    assert merged.services["bulletins"].calls["draft"].priority is Priority.URGENT


def test_defaults_are_filled_in() -> None:
    merged = merge(SERVICE + "[services.a.calls.x]\n" + MODEL)
    assert merged.services["a"].calls["x"].idempotent
    assert merged.versions["v"].state is VersionState.OFFERED
    assert merged.generation == 1


def test_empty_text_is_accepted() -> None:
    assert parse_section("") == SectionText()


PARSED = [
    ("no toml", "[a", "text", "syntax"),
    ("twice", "[services.a]\n[services.a]\n", "text", "syntax"),
    ("deep", "a = " + "[" * 5_000 + "]" * 5_000, "text", "syntax"),
    ("long number", "a = " + "9" * 5_000, "text", "syntax"),
    ("unknown table", "[gates.a]\n", "text", ""),
    ("unknown field", SERVICE + "colour = 1\n", "services", ""),
    ("missing field", "[services.a]\n", "services", ""),
    ("wrong kind", '[services.a]\nkind = "odd"\n', "services", ""),
    ("wrong type", '[services.a]\nkind = "plain"\ncascade = 3\n', "services", ""),
    ("upper-case name", '[services.A]\nkind = "plain"\n', "services.A", "a-z"),
    ("empty name", '[services.""]\nkind = "plain"\n', "services.", "a-z"),
    (
        "long name",
        f'[services.{"x" * 64}]\nkind = "plain"\n',
        f"services.{'x' * 64}",
        "63",
    ),
    ("call name", SERVICE + '[services.a.calls."x y"]\n', "services.a.calls.x y", ""),
    (
        "negative cost",
        MODEL.replace("1.0", "-1.0"),
        "versions.v.cost",
        "from 0",
    ),
    ("cost nan", MODEL.replace("1.0", "nan"), "versions.v.cost", "from 0"),
    ("cost inf", MODEL.replace("1.0", "inf"), "versions.v.cost", "from 0"),
    (
        "huge whole cost",
        MODEL.replace("1.0", "9" * 400),
        "versions",
        "",
    ),
    (
        "target",
        SERVICE + "quality_target = 1.5\n",
        "services.a.quality_target",
        "from 0 to 1",
    ),
    (
        "deadline",
        SERVICE + "[services.a.calls.x]\ndeadline_s = 0\n",
        "services.a.calls.x.deadline_s",
        "from 0.001",
    ),
    ("hash", ACCOUNT.replace(HASH, "abc"), "accounts.c.key_sha256", "SHA-256"),
    ("weight", ACCOUNT + "weight = 0\n", "accounts.c.weight", "from 0.001"),
    ("rate", ACCOUNT + "tokens_per_s = -1\n", "accounts.c.tokens_per_s", "from 0"),
    ("running", ACCOUNT + "max_running = 0\n", "accounts.c.max_running", "from 1"),
    (
        "operator",
        '[operators.o]\nkey_sha256 = ""\nsections = []\n',
        "operators.o.key_sha256",
        "SHA-256",
    ),
    ("address", BACKEND + 'address = "here"\n', "backends.b.address", "IP number"),
    ("name", BACKEND + 'address = "h1:80"\n', "backends.b.address", "IP number"),
    ("port", BACKEND + 'address = "::1:70000"\n', "backends.b.address", "port"),
    ("odd digit", BACKEND + 'address = "h:²"\n', "backends.b.address", "port"),
    (
        "long port",
        BACKEND + f'address = "h:{"9" * 5_000}"\n',
        "backends.b.address",
        "port",
    ),
    (
        "capacity",
        BACKEND + 'address = "127.0.0.1:1"\ncapacity = 0\n',
        "backends.b.capacity",
        "from 1",
    ),
    ("no steps", ROLLOUT + "steps = []\n", "rollouts.r.steps", "1.0"),
    ("falling", ROLLOUT + "steps = [0.5, 0.2, 1.0]\n", "rollouts.r.steps", "rising"),
    ("unfinished", ROLLOUT + "steps = [0.5]\n", "rollouts.r.steps", "1.0"),
    ("steps nan", ROLLOUT + "steps = [nan, 1.0]\n", "rollouts.r.steps", "rising"),
    ("hold", ROLLOUT + "hold_s = -1\n", "rollouts.r.hold_s", "from 0"),
]


@pytest.mark.parametrize(
    "text, field, remedy", [row[1:] for row in PARSED], ids=[row[0] for row in PARSED]
)
def test_bad_section_names_field_and_remedy(text: str, field: str, remedy: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_section(text)
    assert caught.value.field.startswith(field)
    assert remedy in caught.value.remedy
    assert caught.value.remedy
    assert caught.value.exit_code == 2


def test_huge_text_is_refused_before_it_is_parsed() -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_section("x" * 10_000_000)
    assert caught.value.field == "text"
    assert str(MAX_TEXT_BYTES) in caught.value.message
    assert "split" in caught.value.remedy


MERGED = [
    ("own cycle", SERVICE + 'depends_on = ["a"]\n', "services.a.depends_on", "remove"),
    (
        "long cycle",
        SERVICE
        + 'depends_on = ["b"]\n'
        + SERVICE.replace(".a]", ".b]")
        + 'depends_on = ["c"]\n'
        + SERVICE.replace(".a]", ".c]")
        + 'depends_on = ["a"]\n',
        "services.a.depends_on",
        "remove",
    ),
    (
        "dangling service",
        SERVICE + 'depends_on = ["x"]\n',
        "services.a.depends_on",
        "a",
    ),
    ("no cascade", '[services.m]\nkind = "model"\n', "services.m.cascade", "version"),
    (
        "dangling version",
        '[services.m]\nkind = "model"\ncascade = ["v"]\n',
        "services.m.cascade",
        "define",
    ),
    (
        "foreign version",
        MODEL + '[services.n]\nkind = "model"\ncascade = ["v"]\n',
        "services.n.cascade",
        "versions.v.service",
    ),
    (
        "version of nothing",
        '[versions.v]\nservice = "m"\nmodel = "x"\ncost = 1\n',
        "versions.v.service",
        "define",
    ),
    ("account of nothing", ACCOUNT, "accounts.c.services", "define"),
    (
        "account with a dangling version",
        SERVICE + ACCOUNT + 'versions = ["v"]\n',
        "accounts.c.versions",
        "define",
    ),
    (
        "one key twice",
        SERVICE + ACCOUNT + ACCOUNT.replace("accounts.c", "accounts.d"),
        "accounts.d.key_sha256",
        "of its own",
    ),
    (
        "backend of nothing",
        BACKEND + 'address = "127.0.0.1:1"\n',
        "backends.b.service",
        "define",
    ),
    (
        "backend with a dangling version",
        SERVICE + BACKEND + 'address = "127.0.0.1:1"\nversions = ["v"]\n',
        "backends.b.versions",
        "define",
    ),
    ("roll-out of nothing", ROLLOUT, "rollouts.r.service", "define"),
    (
        "roll-out to a withdrawn version",
        MODEL + 'state = "withdrawn"\n' + ROLLOUT,
        "rollouts.r.new",
        "offer",
    ),
]


@pytest.mark.parametrize(
    "text, field, remedy", [row[1:] for row in MERGED], ids=[row[0] for row in MERGED]
)
def test_bad_names_across_tables_are_found(text: str, field: str, remedy: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        merge(text)
    assert caught.value.field == field
    assert remedy in caught.value.remedy


@pytest.mark.parametrize("text", [SERVICE, MODEL], ids=["service", "model"])
def test_name_in_two_sections_is_refused(text: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        merge(text, text)
    assert "two sections" in caught.value.message
    assert "rename" in caught.value.remedy


def test_long_chain_of_services_is_accepted() -> None:
    names = [f"s{number}" for number in range(5_000)]
    rows = [f'[services.{names[-1]}]\nkind = "plain"\n']
    for name, following in itertools.pairwise(names):
        rows.append(
            f'[services.{name}]\nkind = "plain"\ndepends_on = ["{following}"]\n'
        )
    assert len(merge("".join(rows)).services) == 5_000


def check_text(text: str) -> None:
    """Parse and merge a text; anything but a ConfigurationError comes through."""
    try:
        section = parse_section(text)
        merge_sections(generation=1, sections={"s": section})
    except ConfigurationError as error:
        assert error.field
        assert error.remedy
        assert error.render().startswith("Error: ")


quick = settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
names = st.sampled_from(["a", "b", "bulletins", "small-1", "A", "", "x y"])
values = st.one_of(
    st.integers().map(str),
    st.floats().map(str),
    st.sampled_from(['"plain"', '"model"', '"withdrawn"', '["a"]', "[]", "{}", "1.0"]),
    st.sampled_from(
        ["true", "1979-05-27", "07:32:00", "9" * 4_400, "1e400", '"\\ud8"']
    ),
    st.text(max_size=10).map(lambda text: f'"{text}"'),
    names.map(lambda name: f'["{name}"]'),
)
FIELDS = sorted(
    {
        "kind",
        "depends_on",
        "cascade",
        "quality_target",
        "service",
        "model",
        "cost",
        "state",
        "key_sha256",
        "services",
        "versions",
        "weight",
        "address",
        "failure_domain",
        "capacity",
        "steps",
        "old",
        "new",
        "hold_s",
        "sections",
    }
)
TABLES = ["services", "versions", "accounts", "backends", "rollouts", "operators", "x"]
tables = st.builds(
    lambda table, name, rows: (
        f'[{table}."{name}"]\n' + "".join(f"{k} = {v}\n" for k, v in rows.items())
    ),
    st.sampled_from(TABLES),
    names,
    st.dictionaries(st.sampled_from(FIELDS), values, max_size=5),
)


@quick
@given(text=st.text(max_size=300))
def test_any_text_is_accepted_or_explained(text: str) -> None:
    check_text(text)


@quick
@given(text=st.lists(tables, max_size=4).map("".join))
def test_any_tables_are_accepted_or_explained(text: str) -> None:
    check_text(text)


@quick
@given(
    start=st.integers(0, len(TEXT)),
    length=st.integers(0, 40),
    put=st.one_of(values, st.text(max_size=10)),
)
def test_damaged_text_is_accepted_or_explained(
    start: int, length: int, put: str
) -> None:
    check_text(TEXT[:start] + put + TEXT[start + length :])
