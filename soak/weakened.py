"""Run an instance with one safeguard taken out, to see that a check finds it."""

from __future__ import annotations

import sys
from collections.abc import Callable

from baobabthread.core.registry import Registry
from baobabthread.instance import (
    attempts,
    crashes,
    endings,
    events,
    flight,
    restrictions,
)
from baobabthread.instance.wire import AnswerMarks
from baobabthread.platform import __main__ as program
from baobabthread.platform import headers
from baobabthread.routing import coldness, configuration, knowledge

WEAKENED: Registry[Callable[[], None]] = Registry(what="weakened instance")


@WEAKENED.register("refuse what ran")
def refuse_what_ran() -> None:
    """Promise that a request has not run though it may have."""
    endings.Endings._surely_not_run = lambda self, flight: True  # type: ignore


@WEAKENED.register("repeat everything")
def repeat_everything() -> None:
    """Take every route for one that may be repeated."""
    configuration.Route.may_repeat = property(lambda self: True)  # type: ignore


@WEAKENED.register("serve on stale knowledge")
def serve_stale() -> None:
    """Honour keys however old the knowledge of them is."""
    knowledge.Knowledge.is_fresh = lambda self, now: True  # type: ignore


@WEAKENED.register("pass parts of events")
def pass_parts() -> None:
    """Pass bytes of a stream on as they come, also what was passed before."""

    def feed(self: object, data: bytes) -> events.WholeEvents:
        return events.WholeEvents(data=data, last_id=None)

    events.EventCutter.feed = feed  # type: ignore


@WEAKENED.register("take any answer")
def take_any_answer() -> None:
    """Take a success without a signature, or of another request, for the answer."""

    def check(self: attempts.Attempt, marks: AnswerMarks, status: int) -> None:
        if marks.not_run:
            self.flight.runs -= 1
            raise attempts.RefusedError(status)

    attempts.Attempt._check = check  # type: ignore


@WEAKENED.register("pass the key on")
def pass_key_on() -> None:
    """Leave the caller's key and account in what a backend server gets."""
    headers._OURS.clear()


@WEAKENED.register("forget crashes")
def forget_crashes() -> None:
    """Take each try of a request that crashed servers for a new one."""
    crashes.CrashWatch._tell = lambda self, server: None  # type: ignore


@WEAKENED.register("forget evacuations")
def forget_evacuations() -> None:
    """Take no failure domain for evacuated."""
    restrictions.Restrictions.is_evacuated = lambda self, record: False  # type: ignore


@WEAKENED.register("forget the cold")
def forget_the_cold() -> None:
    """Take every backend server for warm."""
    coldness.ColdServers.left_s = lambda self, name, now: 0.0  # type: ignore


@WEAKENED.register("forget homes")
def forget_homes() -> None:
    """Let every request be served anywhere."""
    flight.find_homes = lambda route, account: None


def main() -> int:
    """Take out the safeguard that the first argument names, and serve."""
    WEAKENED.get(sys.argv.pop(1))()
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
