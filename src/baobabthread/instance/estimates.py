"""Estimates of a request's duration from the latency of previous responses."""

from __future__ import annotations

from baobabthread.instance.context import RequestContext
from baobabthread.routing.gaps import InterEventGaps
from baobabthread.routing.latencies import LatencyModel
from baobabthread.routing.mechanisms import DisabledMechanisms, Mechanism

SLOW_TOKEN_S = 0.04
"""Minimum time per token in the estimate of a longest response: the time at an engine
that reads long prompts between tokens. About nine of ten streams of a saturated
deployment are faster. An instance that has just started has no better estimate, and a
stream that is cut by its stop is lost."""
LENGTH_FACTOR = 3.0
"""Multiple of the caller's length estimate that an unlimited response may reach."""
MIN_LATENCY_S = 0.01
"""Latency of a response in addition to the reading of its prompt."""
COST_SMOOTHING_FRACTION = 0.2
"""Weight of each new wait in the moving average of the cost of engine time."""
FREE_WAIT_S = 0.24
"""Wait at the best engine up to which engine time costs nothing: any prompt waits that
long while others are read, an eighth of the models' shortest latency objectives."""
FULL_COST_WAIT_S = 1.6
"""Wait beyond `FREE_WAIT_S` at the best engine at which a larger model's response must
be better by the full value of a response: each prompt then delays all that follow."""


class Estimates:
    """Estimate the duration of requests and learn from their responses."""

    __slots__ = ("_event_gaps", "_latency_model", "engine_time_cost")

    def __init__(self) -> None:
        self._latency_model = LatencyModel()
        self._event_gaps = InterEventGaps()
        self.engine_time_cost = 0.0
        """Moving average of the cost of engine time."""

    def first_s(self, context: RequestContext) -> float:
        """Return the estimated seconds until the first part of a response."""
        prompt = context.request.envelope.prompt_tokens
        return self._latency_model.first_s(context.service, context.model_name, prompt)

    def total_s(self, context: RequestContext, model: str | None) -> float:
        """Return the estimated seconds until a model's response is complete."""
        envelope = context.request.envelope
        return self._latency_model.total_s(
            context.service,
            model,
            prompt_tokens=envelope.prompt_tokens,
            tokens=envelope.expected_tokens,
        )

    def max_total_s(self, context: RequestContext, model: str | None) -> float:
        """Return the estimated seconds until a model's longest response is complete."""
        envelope = context.request.envelope
        estimated_tokens = int(LENGTH_FACTOR * envelope.expected_tokens)
        return self._latency_model.total_s(
            context.service,
            model,
            prompt_tokens=envelope.prompt_tokens,
            tokens=envelope.output_tokens or estimated_tokens,
            min_token_s=SLOW_TOKEN_S,
        )

    def work_ms(self, context: RequestContext) -> int:
        """Return the estimated milliseconds that a backend server needs, at least 1."""
        return max(1, int(self.total_s(context, context.model_name) * 1000))

    def reading_s(
        self,
        context: RequestContext,
        model: str | None = None,
        kept_tokens: int | None = None,
    ) -> float:
        """Return the seconds that an engine reads the prompt; 0 at a plain service.

        Model and cached tokens default to those of the attempt.
        """
        if not context.route.is_stream:
            return 0.0
        if kept_tokens is None:
            kept_tokens = _find_kept_tokens(context)
        uncached = max(0, context.request.envelope.prompt_tokens - kept_tokens)
        name = model or context.model_name
        return self._latency_model.unloaded_first_s(context.service, name, uncached)

    def unloaded_first_s(self, context: RequestContext) -> float:
        """Return the seconds to the first part of a response on an idle server.

        Servers of a canary version have no prompts cached yet. If they were expected to
        be as fast as the others, a good version would be considered slow.
        """
        is_unknown = context.is_canary and context.kept_tokens is None
        reading_s = self.reading_s(context, kept_tokens=0 if is_unknown else None)
        return MIN_LATENCY_S + reading_s

    def shared_s(self, context: RequestContext) -> float:
        """Return the seconds that a cached prompt prefix saves."""
        tokens = context.request.envelope.shared_tokens
        return self._latency_model.prefill_s(
            context.service, context.model_name, tokens
        )

    def estimate_costs(
        self,
        context: RequestContext,
        wait_s: float,
        reading_s: float,
        disabled: DisabledMechanisms,
    ) -> tuple[float, ...]:
        """Return the current cost of the engine time of each model's response.

        `wait_s` is the wait at the best engine, and `reading_s` the time that the
        largest model needs there to read the prompt. Faster models and cached prompts
        cost less. The result is empty if the mechanism is disabled; otherwise the
        moving average of the cost is updated.
        """
        if Mechanism.MODEL_COST in disabled:
            return ()
        models = context.route.models
        largest_s = max(1e-3, self.reading_s(context, models[-1], 0))
        pressure = max(0.0, wait_s - FREE_WAIT_S) / FULL_COST_WAIT_S
        self.engine_time_cost += COST_SMOOTHING_FRACTION * (
            pressure - self.engine_time_cost
        )
        costs = [
            pressure * self.reading_s(context, model, 0) / largest_s for model in models
        ]
        costs[-1] = pressure * min(1.0, reading_s / largest_s)
        return tuple(costs)

    def event_timeout_s(self, context: RequestContext) -> float:
        """Return the seconds of silence after which a stream is abandoned."""
        return self._event_gaps.timeout_s(context.service)

    def observe_event_gap(self, context: RequestContext, gap_s: float) -> None:
        """Learn from a gap between events, also if the stream was abandoned in it."""
        self._event_gaps.observe(context.service, gap_s)

    def observe_response(self, context: RequestContext, duration_s: float) -> None:
        """Learn from a response that was not streamed."""
        self._latency_model.observe(
            context.service,
            context.model_name,
            prompt_tokens=0,
            shared_tokens=0,
            first_s=duration_s,
            rest_s=0.0,
            tokens=1,
        )

    def observe_stream(
        self, context: RequestContext, first_s: float, rest_s: float
    ) -> None:
        """Learn from a completed stream."""
        envelope = context.request.envelope
        self._latency_model.observe(
            context.service,
            context.model_name,
            prompt_tokens=envelope.prompt_tokens,
            shared_tokens=_find_kept_tokens(context),
            first_s=first_s,
            rest_s=rest_s,
            tokens=envelope.expected_tokens,
        )


def _find_kept_tokens(context: RequestContext) -> int:
    """Return the cached tokens; if unknown, all shared ones are assumed cached."""
    if context.kept_tokens is not None:
        return context.kept_tokens
    return context.request.envelope.shared_tokens
