"""Checks that a request passes before anything is done for it."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import xxhash

from baobabthread.core.configuration.configuration import Call, OnStale, ServiceKind
from baobabthread.core.configuration.directory import Directory
from baobabthread.core.events import RequestArrived
from baobabthread.core.limits.rates import weigh_tokens
from baobabthread.core.requests.request import Request
from baobabthread.core.services import ServiceState
from baobabthread.errors import Kind, Problem, Ran

STALE_RETRY_S = 2.0
CONFIGURE_RETRY_S = 1.0
CHARACTERS_PER_TOKEN = 4

MayServe = Callable[[OnStale, float], bool]


class Intake:
    """Turn what arrived into a request of a known account, service and call."""

    __slots__ = ("_is_caught_up", "_may_serve", "_services", "directory")

    def __init__(
        self,
        *,
        services: dict[str, ServiceState],
        may_serve: MayServe,
        is_caught_up: Callable[[], bool],
    ) -> None:
        """Take `is_caught_up`, which tells whether quarantines are known here."""
        self._services = services
        self._may_serve = may_serve
        self._is_caught_up = is_caught_up
        self.directory = Directory()

    def admit(self, arrived: RequestArrived, now: float) -> Request | Problem:
        """Return the request, or why it is refused."""
        if not self.directory.configuration.generation:
            return _refuse(
                arrived,
                Kind.NOT_CONFIGURED,
                "this entry has no configuration yet",
                "come back when it has read one, or publish the first one",
                retry_after_s=CONFIGURE_RETRY_S,
            )
        account = self.directory.find_account(arrived.key_sha256)
        if account is None:
            return _refuse(
                arrived,
                Kind.UNAUTHENTICATED,
                "no client account has this key",
                "send the key of a client account that the configuration names",
            )
        name = self._find_service(arrived)
        if isinstance(name, Problem):
            return name
        return self._admit_to(arrived, account, self._services[name], now)

    def _find_service(self, arrived: RequestArrived) -> str | Problem:
        if arrived.is_model:
            found = self.directory.find_service(arrived.service)
            if found is not None:
                return found
            return _refuse(
                arrived,
                Kind.UNKNOWN_MODEL,
                f"no model service or version '{arrived.service[:80]}'",
                f"name one of: {self._list_services(ServiceKind.MODEL)}",
            )
        service = self.directory.get_service(arrived.service)
        if service is not None and service.kind is ServiceKind.PLAIN:
            return arrived.service
        return _refuse(
            arrived,
            Kind.UNKNOWN_SERVICE,
            f"no plain service '{arrived.service[:80]}'",
            f"call one of: {self._list_services(ServiceKind.PLAIN)}",
        )

    def _list_services(self, kind: ServiceKind) -> str:
        services = self.directory.configuration.services
        names = sorted(name for name, row in services.items() if row.kind is kind)
        return ", ".join(names[:8]) or "none is configured"

    def _admit_to(
        self,
        arrived: RequestArrived,
        account: str,
        state: ServiceState,
        now: float,
    ) -> Request | Problem:
        if state.name not in self.directory.get_account(account).services:
            return _refuse(
                arrived,
                Kind.FORBIDDEN,
                f"account '{account}' may not use service '{state.name}'",
                "ask the operator to add the service to the account",
            )
        call = self.directory.get_call(state.service, arrived.call)
        if call is None:
            known = ", ".join(sorted(state.service.calls)) or "none"
            return _refuse(
                arrived,
                Kind.UNKNOWN_CALL,
                f"service '{state.name}' has no call '{arrived.call[:80]}'",
                f"use one of: {known}",
            )
        if not self._may_serve(state.service.on_stale, now):
            # A cut-off entry can't know that a version was withdrawn meanwhile.
            return _refuse(
                arrived,
                Kind.CUT_OFF,
                "this entry is cut off from the log and from most entries",
                "use another address, or come back",
                retry_after_s=STALE_RETRY_S,
            )
        return self._build(arrived, account, state, call, now)

    def _build(
        self,
        arrived: RequestArrived,
        account: str,
        state: ServiceState,
        call: Call,
        now: float,
    ) -> Request | Problem:
        request = Request(
            arrived=arrived,
            account=account,
            service=state,
            call=call,
            now=now,
            tokens=_estimate_tokens(arrived, state),
        )
        request.bill_key = _name_bill(request)
        if not call.idempotent:
            request.body_hash = hashlib.sha256(arrived.body).hexdigest()
        if not arrived.is_model:
            return request
        if not self._is_caught_up():
            return _refuse(
                arrived,
                Kind.NOT_CONFIGURED,
                "this entry has not yet read which versions are quarantined",
                "use another address, or come back",
                retry_after_s=CONFIGURE_RETRY_S,
            )
        request.versions = self.directory.list_allowed(account, state.name)
        if arrived.prefix:
            request.prefix_key = xxhash.xxh3_64_intdigest(arrived.prefix.encode())
        if arrived.service == state.name:
            return request
        if arrived.service not in request.versions:
            return _refuse(
                arrived,
                Kind.NO_VERSION,
                f"account '{account}' may not use version '{arrived.service}' now",
                f"name the service '{state.name}' or an allowed version",
            )
        request.versions = (arrived.service,)
        request.keep_plan = True
        return request


def _estimate_tokens(arrived: RequestArrived, state: ServiceState) -> int:
    if not arrived.is_model:
        return 1
    prompt = len(arrived.body) // CHARACTERS_PER_TOKEN
    expected = state.expect_tokens(arrived.call)
    if arrived.max_tokens:
        expected = min(expected, arrived.max_tokens)
    return weigh_tokens(prompt=prompt, cached=0, completion=expected)


def _name_bill(request: Request) -> str:
    key = request.arrived.idempotency_key
    if key is None:
        return ""
    # The caller's own key makes its repeat at another entry fall on the same bill.
    # The body belongs to it: else one key would pay for any number of requests.
    digest = xxhash.xxh3_64_hexdigest(request.arrived.body)
    return f"{key}/{digest}"


def _refuse(
    arrived: RequestArrived,
    kind: Kind,
    detail: str,
    remedy: str,
    *,
    retry_after_s: float | None = None,
) -> Problem:
    return Problem(
        kind=kind,
        detail=detail,
        remedy=remedy,
        ran=Ran.NO,
        retry_after_s=retry_after_s,
        request_id=arrived.request_id,
    )
