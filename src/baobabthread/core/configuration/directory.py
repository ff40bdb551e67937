"""Indexes of the configuration in force: who may call what."""

from __future__ import annotations

from baobabthread.core.configuration.configuration import (
    EMPTY,
    Account,
    Call,
    Configuration,
    Service,
    ServiceKind,
    Version,
    VersionState,
)

DEFAULT_CALL = Call()


class Directory:
    """Answer look-ups of one configuration."""

    __slots__ = ("_accounts", "_allowed", "configuration")

    def __init__(self, *, configuration: Configuration | None = None) -> None:
        self.configuration = configuration or EMPTY
        accounts = self.configuration.accounts
        self._accounts = {row.key_sha256: name for name, row in accounts.items()}
        self._allowed: dict[tuple[str, str], tuple[str, ...]] = {}

    def find_account(self, key_sha256: str) -> str | None:
        """Return the client account that a key belongs to."""
        return self._accounts.get(key_sha256)

    def get_account(self, name: str) -> Account:
        """Return an account by name."""
        return self.configuration.accounts[name]

    def find_service(self, model: str) -> str | None:
        """Return the model service that a name, of it or of a version, leads to."""
        service = self.configuration.services.get(model)
        if service is not None:
            return model if service.kind is ServiceKind.MODEL else None
        version = self.configuration.versions.get(model)
        return version.service if version is not None else None

    def get_service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self.configuration.services.get(name)

    def get_version(self, name: str) -> Version | None:
        """Return a version by name."""
        return self.configuration.versions.get(name)

    def get_call(self, service: Service, name: str) -> Call | None:
        """Return a call; a model service's unnamed call has the defaults."""
        if service.kind is ServiceKind.MODEL and not name:
            return DEFAULT_CALL
        return service.calls.get(name)

    def list_allowed(self, account: str, service: str) -> tuple[str, ...]:
        """Return the versions that an account allows, in cascade order.

        Versions outside the cascade, such as one under roll-out, follow those in it.
        Withdrawn ones are left out.
        """
        key = (account, service)
        found = self._allowed.get(key)
        if found is None:
            found = self._allowed[key] = self._collect_allowed(account, service)
        return found

    def _collect_allowed(self, account: str, service: str) -> tuple[str, ...]:
        allowed = self.configuration.accounts[account].versions
        cascade = self.configuration.services[service].cascade
        names = [
            *cascade,
            *(
                name
                for name, version in self.configuration.versions.items()
                if version.service == service and name not in cascade
            ),
        ]
        return tuple(
            name
            for name in names
            if (not allowed or name in allowed) and not self._is_withdrawn(name)
        )

    def _is_withdrawn(self, name: str) -> bool:
        return self.configuration.versions[name].state is VersionState.WITHDRAWN
