"""Look-up of routes, services and client accounts in the configuration in force."""

from __future__ import annotations

import msgspec

from baobabthread.routing.configuration import (
    Account,
    Route,
    RoutingConfiguration,
    ServiceConfiguration,
)
from baobabthread.routing.regions import find_common_regions


class RoutingTable:
    """Answer which route and which client account a request belongs to."""

    __slots__ = ("_accounts", "_hosts", "common_regions", "configuration", "services")

    def __init__(self, *, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self.common_regions = find_common_regions(configuration)
        """Areas in which all callers' bodies may be read; empty where any will do."""
        self.services: dict[str, ServiceConfiguration] = {
            service.name: service for service in configuration.services
        }
        self._accounts: dict[str, Account] = {
            key: account for account in configuration.accounts for key in account.keys
        }
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    @property
    def needs_keys(self) -> bool:
        """Tell whether requests need a key of a client account."""
        return bool(self.configuration.accounts)

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that begins the path."""
        prefixes = self._hosts.get(_strip_port(host).lower())
        if not prefixes:
            return None
        # Prefixes end with a slash, so only the path's own slashes can end one.
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            if end == 0:
                return None
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None

    def authenticate(self, key: str | None) -> Account | None:
        """Return the client account that holds a key."""
        return None if key is None else self._accounts.get(key)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


class Envelope(msgspec.Struct, kw_only=True):
    """Hold what a request's headers say, decoded."""

    request_id: str
    key: str | None = None
    """Key of a client account."""
    time_left_s: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    """Most tokens that the answer may have."""
    expected_tokens: int = 0
    """The caller's own estimate of them; 0 when it gave none."""
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event: str | None = None
    """The last event that the caller has of an earlier stream."""

    session: str | None = None
    """Name of the conversation; its requests should keep their version."""

    @property
    def shared_part(self) -> str | None:
        """Give the last part of the prompt that other requests have too.

        The very last one is this request's own, so that no cache can hold it.
        """
        return self.prompt_parts[-2].id if len(self.prompt_parts) > 1 else None

    @property
    def shared_tokens(self) -> int:
        """Give the tokens of the prompt that a cache may hold."""
        return sum(part.tokens for part in self.prompt_parts[:-1])


class PromptPart(msgspec.Struct, frozen=True, kw_only=True):
    """Name one part of a prompt; requests that share it share its cache."""

    id: str
    tokens: int
