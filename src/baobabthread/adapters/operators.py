"""The operators' HTTP interface: publish, look up, dump."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, Protocol

import msgspec
from aiohttp import web

from baobabthread.adapters.callers import (
    hash_bearer,
    read_body,
    refuse,
    render_problem,
)
from baobabthread.core.configuration.configuration import MAX_TEXT_BYTES, Configuration
from baobabthread.core.events import PublishEnded
from baobabthread.errors import Kind

ADMIN_PREFIX = "/admin/"
PUBLISH_PATH = "/admin/publish"
MAX_PUBLISH_BYTES = 2 * MAX_TEXT_BYTES
ROOT_OPERATOR = "root"
ALL_SECTIONS = "*"


PublishId = Annotated[str, msgspec.Meta(pattern=r"^[\x21-\x7e]{1,128}$")]
SectionName = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
]


class PublishBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold an operator's request to publish."""

    id: PublishId
    section: SectionName
    base: Annotated[int, msgspec.Meta(ge=0)] | None = None
    """The generation that was edited; without it, the one in force here."""
    text: str


class OperatorKey(msgspec.Struct, frozen=True, kw_only=True):
    """Name an operator who gave a known key."""

    name: str
    sections: tuple[str, ...]

    def may_publish(self, section: str) -> bool:
        """Tell whether the operator may publish this section."""
        return ALL_SECTIONS in self.sections or section in self.sections


class Administration(Protocol):
    """Do what operators ask of an entry."""

    @property
    def configuration(self) -> Configuration | None:
        """Give the configuration in force."""
        ...

    async def publish(self, body: PublishBody, operator: str) -> PublishEnded:
        """Publish a text and return what became of it."""
        ...

    def dump_sections(self) -> Any:
        """Return the sections in force."""
        ...

    def dump_generations(self) -> Any:
        """Return the generation that each entry has in force."""
        ...

    async def dump_bills(self) -> Any:
        """Return the folded billing stream."""
        ...

    def dump_rollouts(self) -> Any:
        """Return the state of roll-outs and versions."""
        ...

    def dump_state(self) -> Any:
        """Return the state of this process."""
        ...


Dump = Callable[[Administration], Awaitable[Any]]


class OperatorServer:
    """Answer operators' requests."""

    __slots__ = ("_administration", "_dumps", "_publishing", "_root_key")

    def __init__(self, *, administration: Administration, root_key_sha256: str) -> None:
        self._administration = administration
        self._root_key = root_key_sha256
        self._publishing: set[str] = set()
        self._dumps: dict[str, Dump] = {
            "/admin/configuration": _wrap(lambda admin: admin.dump_sections()),
            "/admin/generations": _wrap(lambda admin: admin.dump_generations()),
            "/admin/bills": lambda admin: admin.dump_bills(),
            "/admin/rollouts": _wrap(lambda admin: admin.dump_rollouts()),
            "/state": _wrap(lambda admin: admin.dump_state()),
        }

    def serves(self, path: str) -> bool:
        """Tell whether a path belongs to operators."""
        return path.startswith(ADMIN_PREFIX) or path == "/state"

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request or raise a RequestError."""
        operator = self._authenticate(hash_bearer(request))
        if request.path == PUBLISH_PATH and request.method == "POST":
            return await self._publish(request, operator)
        dump = self._dumps.get(request.path)
        if dump is None or request.method != "GET":
            raise refuse(
                Kind.NOT_FOUND,
                f"no {request.method} {request.path}",
                f"use POST {PUBLISH_PATH} or GET {', '.join(self._dumps)}",
            )
        return _render(await dump(self._administration))

    def _authenticate(self, key_sha256: str) -> OperatorKey:
        if self._root_key and hmac.compare_digest(self._root_key, key_sha256):
            return OperatorKey(name=ROOT_OPERATOR, sections=(ALL_SECTIONS,))
        configuration = self._administration.configuration
        operators = configuration.operators if configuration is not None else {}
        for name, operator in operators.items():
            if hmac.compare_digest(operator.key_sha256, key_sha256):
                return OperatorKey(name=name, sections=tuple(operator.sections))
        raise refuse(
            Kind.UNAUTHENTICATED,
            "no operator has this key",
            "send an operator's key as 'Authorization: Bearer KEY'",
        )

    async def _publish(
        self, request: web.BaseRequest, operator: OperatorKey
    ) -> web.StreamResponse:
        raw = await read_body(request, limit=MAX_PUBLISH_BYTES)
        try:
            body = msgspec.json.decode(raw, type=PublishBody)
        except msgspec.DecodeError as error:
            raise refuse(
                Kind.BAD_REQUEST,
                f"not a publish request: {error}",
                "send JSON with 'id', 'section', 'base' and 'text'",
            ) from None
        if not operator.may_publish(body.section):
            raise refuse(
                Kind.FORBIDDEN,
                f"operator '{operator.name}' may not publish '{body.section[:80]}'",
                f"publish one of: {', '.join(operator.sections) or 'none'}",
            )
        ended = await self._publish_once(body, operator)
        if ended.problem is not None:
            return render_problem(ended.problem)
        return _render({"id": ended.id, "generation": ended.generation})

    async def _publish_once(
        self, body: PublishBody, operator: OperatorKey
    ) -> PublishEnded:
        # One outcome comes back for an id: a second request under it would take the
        # place of the first, which then waits for ever.
        if body.id in self._publishing:
            raise refuse(
                Kind.CONFLICT,
                f"id '{body.id}' is being published",
                "wait for that answer, or publish under a fresh id",
            )
        self._publishing.add(body.id)
        try:
            return await self._administration.publish(body, operator.name)
        finally:
            self._publishing.discard(body.id)


def _wrap(look_up: Callable[[Administration], Any]) -> Dump:
    async def dump(administration: Administration) -> Any:
        return look_up(administration)

    return dump


def _render(value: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
