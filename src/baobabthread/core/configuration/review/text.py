"""The view of the operators' text."""

from __future__ import annotations

from collections import Counter

import msgspec

from baobabthread.core.configuration.review.view import (
    Account,
    Rollout,
    Route,
    Service,
    Target,
    Version,
    View,
)
from baobabthread.core.configuration.types import (
    Configuration,
    SectionText,
    VersionState,
)


def view_text(merged: Configuration) -> View:
    """Return the view of a merged, checked configuration."""
    return View(
        routes=_view_calls(merged),
        services=_view_services(merged),
        versions=_view_versions(merged),
        accounts=tuple(
            Account(
                row=("accounts", name),
                field=f"accounts.{name}",
                name=name,
                keys=(account.key_sha256,),
                services=tuple(account.services),
                versions=tuple(account.versions),
            )
            for name, account in merged.accounts.items()
        ),
        rollouts=tuple(
            Rollout(
                row=("rollouts", name),
                field=f"rollouts.{name}",
                service=rollout.service,
                old=rollout.old,
                new=rollout.new,
            )
            for name, rollout in merged.rollouts.items()
        ),
        tables={
            field.name: getattr(merged, field.name)
            for field in msgspec.structs.fields(SectionText)
        },
        summary=(
            f"{len(merged.services)} services, {len(merged.versions)} versions, "
            f"{len(merged.accounts)} accounts, {len(merged.backends)} backend servers"
        ),
    )


def _view_calls(merged: Configuration) -> tuple[Route, ...]:
    return tuple(
        Route(
            row=("services", name),
            field=f"services.{name}.calls.{call_name}",
            name=f"{name}/{call_name}",
            targets=(Target(service=name),),
            timeout_s=call.deadline_s,
        )
        for name, service in merged.services.items()
        for call_name, call in service.calls.items()
    )


def _view_services(merged: Configuration) -> dict[str, Service]:
    servers = Counter(backend.service for backend in merged.backends.values())
    return {
        name: Service(
            row=("services", name),
            field=f"services.{name}",
            cascade=tuple(service.cascade),
            costs={each: merged.versions[each].cost for each in service.cascade},
            servers=servers[name] if merged.backends else None,
        )
        for name, service in merged.services.items()
    }


def _view_versions(merged: Configuration) -> dict[str, Version]:
    servers = Counter(
        name
        for backend in merged.backends.values()
        for name in dict.fromkeys(backend.versions)
    )
    return {
        name: Version(
            row=("versions", name),
            field=f"versions.{name}",
            service=version.service,
            cost=version.cost,
            is_offered=version.state is VersionState.OFFERED,
            is_withdrawn=version.state is VersionState.WITHDRAWN,
            servers=servers[name] if merged.backends else None,
        )
        for name, version in merged.versions.items()
    }
