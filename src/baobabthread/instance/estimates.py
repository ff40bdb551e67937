"""How long a request will take, by what answers took before."""

from __future__ import annotations

from baobabthread.instance.context import RequestContext
from baobabthread.routing.gaps import InterEventGaps
from baobabthread.routing.latencies import LatencyModel
from baobabthread.routing.mechanisms import DisabledMechanisms, Mechanism

SLOW_TOKEN_S = 0.04
"""Time for a token at an engine that reads long prompts between its tokens: about nine
of ten streams of a saturated deployment are faster. An instance that has just started
knows no better, and a stream that its stop cuts is lost."""
LENGTH_FACTOR = 3.0
"""Times its caller's estimate that an answer may be long where nothing bounds it."""
MIN_LATENCY_S = 0.01
"""Time that an answer takes besides the reading of its prompt."""
COST_SMOOTHING_FRACTION = 0.2
"""Part by which the price of late follows each wait that was asked for."""
FREE_WAIT_S = 0.24
"""Wait at the best engine that costs nobody anything: it is what any prompt meets while
others are read, an eighth of the shortest objectives of models' answers."""
FULL_COST_WAIT_S = 1.6
"""Wait at the best engine from which a larger model's answer must be all of an answer's
worth better: whatever is read then makes all that follows late."""


class Estimates:
    """Ask the pace of answers about one request, and teach it."""

    __slots__ = ("_event_gaps", "_latency_model", "engine_time_cost")

    def __init__(self) -> None:
        self._latency_model = LatencyModel()
        self._event_gaps = InterEventGaps()
        self.engine_time_cost = 0.0
        """What engine time was worth of late."""

    def first_s(self, flight: RequestContext) -> float:
        """Return about the seconds until the first part of an answer."""
        prompt = flight.request.envelope.prompt_tokens
        return self._latency_model.first_s(flight.service, flight.model_name, prompt)

    def total_s(self, flight: RequestContext, model: str | None) -> float:
        """Return about the seconds until a model's answer is whole."""
        envelope = flight.request.envelope
        return self._latency_model.total_s(
            flight.service,
            model,
            prompt_tokens=envelope.prompt_tokens,
            tokens=envelope.expected_tokens,
        )

    def max_total_s(self, flight: RequestContext, model: str | None) -> float:
        """Return about the seconds that a model's longest answer would take."""
        envelope = flight.request.envelope
        guess = int(LENGTH_FACTOR * envelope.expected_tokens)
        return self._latency_model.total_s(
            flight.service,
            model,
            prompt_tokens=envelope.prompt_tokens,
            tokens=envelope.output_tokens or guess,
            min_token_s=SLOW_TOKEN_S,
        )

    def work_ms(self, flight: RequestContext) -> int:
        """Return about how many milliseconds a backend server works on it."""
        return max(1, int(self.total_s(flight, flight.model_name) * 1000))

    def reading_s(
        self,
        flight: RequestContext,
        model: str | None = None,
        kept_tokens: int | None = None,
    ) -> float:
        """Return the seconds that an engine reads the prompt; 0 at a plain service.

        The model and what is kept are those of the attempt unless others are named.
        """
        if not flight.route.is_stream:
            return 0.0
        if kept_tokens is None:
            kept_tokens = _find_kept_tokens(flight)
        fresh = max(0, flight.request.envelope.prompt_tokens - kept_tokens)
        name = model or flight.model_name
        return self._latency_model.unloaded_first_s(flight.service, name, fresh)

    def unloaded_first_s(self, flight: RequestContext) -> float:
        """Return the seconds to an answer's first part where nothing is in the way.

        Servers of a version on trial have kept no prompts yet: expected to answer like
        the others, a good version would pass for a slow one.
        """
        is_unknown = flight.is_canary and flight.kept_tokens is None
        reading_s = self.reading_s(flight, kept_tokens=0 if is_unknown else None)
        return MIN_LATENCY_S + reading_s

    def shared_s(self, flight: RequestContext) -> float:
        """Return the seconds that a cached prefix saves."""
        tokens = flight.request.envelope.shared_tokens
        return self._latency_model.prefill_s(flight.service, flight.model_name, tokens)

    def estimate_costs(
        self,
        flight: RequestContext,
        wait_s: float,
        reading_s: float,
        disabled: DisabledMechanisms,
    ) -> tuple[float, ...]:
        """Return what the engine time of each model's answer is worth now.

        `wait_s` is the wait at the best engine and `reading_s` what the largest model
        has to read there. A model that reads faster costs less, and so does a prompt
        whose parts are kept.
        """
        if Mechanism.MODEL_COST in disabled:
            return ()
        models = flight.route.models
        largest_s = max(1e-3, self.reading_s(flight, models[-1], 0))
        pressure = max(0.0, wait_s - FREE_WAIT_S) / FULL_COST_WAIT_S
        self.engine_time_cost += COST_SMOOTHING_FRACTION * (
            pressure - self.engine_time_cost
        )
        prices = [
            pressure * self.reading_s(flight, model, 0) / largest_s for model in models
        ]
        prices[-1] = pressure * min(1.0, reading_s / largest_s)
        return tuple(prices)

    def event_timeout_s(self, flight: RequestContext) -> float:
        """Return the silence within a stream after which its engine is given up."""
        return self._event_gaps.timeout_s(flight.service)

    def observe_event_gap(self, flight: RequestContext, gap_s: float) -> None:
        """Learn from a pause within a stream, also from one that was given up."""
        self._event_gaps.observe(flight.service, gap_s)

    def observe_response(self, flight: RequestContext, took_s: float) -> None:
        """Learn from an answer that came in one piece."""
        self._latency_model.observe(
            flight.service,
            flight.model_name,
            prompt_tokens=0,
            shared_tokens=0,
            first_s=took_s,
            rest_s=0.0,
            tokens=1,
        )

    def observe_stream(
        self, flight: RequestContext, first_s: float, rest_s: float
    ) -> None:
        """Learn from a stream that came to its end."""
        envelope = flight.request.envelope
        self._latency_model.observe(
            flight.service,
            flight.model_name,
            prompt_tokens=envelope.prompt_tokens,
            shared_tokens=_find_kept_tokens(flight),
            first_s=first_s,
            rest_s=rest_s,
            tokens=envelope.expected_tokens,
        )


def _find_kept_tokens(flight: RequestContext) -> int:
    """Return the tokens that need not be read; nobody's word means all shared ones."""
    if flight.kept_tokens is not None:
        return flight.kept_tokens
    return flight.request.envelope.shared_tokens
