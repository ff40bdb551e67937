"""The stand-in of a model engine."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any, ClassVar

import msgspec
from aiohttp import web

from baobabthread.ports.prefixes import BLOCK_WORDS, hash_prefixes
from baobabthread.standins.answers import DEFAULT_STRENGTH, Text, write_answer
from baobabthread.standins.batch import PREFILL_WORK, Batch, Job
from baobabthread.standins.cache import PrefixCache
from baobabthread.standins.models import Models, OrderBody
from baobabthread.standins.replies import Reply
from baobabthread.standins.runs import RunCounts
from baobabthread.standins.server import FAULTS, Server, read_body, refuse, reply_json

DEFAULT_PRIORITY = 5
DEFAULT_MAX_TOKENS = 64
MAX_TOKENS = 4096
RETRY_AFTER_S = 0.2
MAX_SAMPLES = 4096
SAMPLE_S = 0.01
OWN_ID = re.compile(r"\bid=(\S+)")
"""The caller's own id within a prompt, as the load tool writes it."""


@FAULTS.register("engine")
class EngineFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold the settings that a test may switch at an engine."""

    bad_versions: dict[str, float] = {}
    """Probability of a flawed answer of a version, while its signal stays high."""
    call: str = ""
    """Limit bad versions to prompts that contain `call=` and this name."""
    speed: float = 1.0
    cut_after_tokens: int = 0
    """Cut the connection after so many tokens of a reply; 0 never does."""
    crossed: float = 0.0
    """Probability that an answer carries another request's id."""
    refuse: bool = False
    freeze: bool = False
    leaving: bool = False
    report_lag_s: float = 0.2
    lie_load: bool = False


class Message(msgspec.Struct, frozen=True):
    """Hold one message of a prompt."""

    role: str = "user"
    content: Any = ""


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the body of a request."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int = DEFAULT_MAX_TOKENS
    priority: int = DEFAULT_PRIORITY
    resume_from: int = 0


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one load report."""

    running: int
    waiting: int
    capacity: int
    versions: list[str]
    fence: int
    tokens_per_s: float


class EngineServer(Server):
    """Answer prompts with continuous batching and follow orders."""

    __slots__ = (
        "_jobs",
        "_last_id",
        "_samples",
        "_thawed",
        "batch",
        "cache",
        "effects",
        "max_waiting",
        "models",
        "resumes",
        "runs",
        "strengths",
        "tokens_per_s",
    )

    kind: ClassVar[str] = "engine"

    def __init__(
        self,
        *,
        versions: Iterable[str],
        strengths: Mapping[str, float] | None = None,
        capacity: int = 8,
        tokens_per_s: float = 4000.0,
        max_waiting: int = 256,
        checks_fencing: bool = False,
        load_s: float = 0.0,
        weights_url: str = "",
        cache_blocks: int = 4096,
        **settings: Any,
    ) -> None:
        super().__init__(**settings)
        self.strengths = dict(strengths or {})
        self.tokens_per_s = tokens_per_s
        self.max_waiting = max_waiting
        self.runs = RunCounts()
        self.effects = RunCounts()
        """Runs by the caller's own id, which is the same under any request id."""
        self.resumes = 0
        self.cache = PrefixCache(blocks=cache_blocks, rng=self.rng)
        self._jobs: dict[str, list[Job]] = {}
        self._last_id = "none"
        self._samples: deque[tuple[float, Report]] = deque(maxlen=MAX_SAMPLES)
        self._thawed = asyncio.Event()
        self._thawed.set()
        self.batch = Batch(
            capacity=capacity,
            tokens_per_s=tokens_per_s,
            on_start=self._count_start,
            on_change=self._sample,
        )
        self.models = Models(
            versions=versions,
            checks_fencing=checks_fencing,
            load_s=load_s,
            weights_url=weights_url,
            on_change=self._sample,
        )
        self._sample()

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Start the batch and close the loads with the stand-in."""
        stack.push_async_callback(self.models.close)
        task = asyncio.create_task(self.batch.run())
        stack.callback(task.cancel)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the model API, of reports and of orders."""
        router.add_post("/v1/chat/completions", self._complete)
        router.add_post("/v1/requests/{request_id}/cancel", self._cancel)
        router.add_get("/load", self._load)
        router.add_post("/orders", self._order)
        router.add_get("/cache/events", self._cache_events)
        router.add_get("/runs/{request_id}", self._show_runs)
        router.add_post("/control/effects", self.effects.show_many)

    def describe(self) -> dict[str, object]:
        """Return what the control page shows."""
        return {
            **super().describe(),
            **self.runs.describe(),
            "resumes": self.resumes,
            "load": self._report(),
            "loading": self.models.loading,
            "orders": list(self.models.orders),
        }

    def on_faults(self) -> None:
        """Apply a changed speed or freeze at once."""
        self.batch.tokens_per_s = self.tokens_per_s * self.faults.speed
        self.batch.freeze(self.faults.freeze)
        if self.faults.freeze:
            self._thawed.clear()
        else:
            self._thawed.set()

    def write(self, ask: Ask) -> Text:
        """Return the answer to a request."""
        prompt = render_prompt(ask.messages)
        bad = self.faults.bad_versions.get(ask.model, 0.0)
        if self.faults.call and f"call={self.faults.call}" not in prompt:
            bad = 0.0
        return write_answer(
            version=ask.model,
            prompt=prompt,
            strength=self.strengths.get(ask.model, DEFAULT_STRENGTH),
            max_tokens=min(MAX_TOKENS, ask.max_tokens),
            bad_probability=bad,
            seed=self.seed,
        )

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        ask = await read_body(request, Ask)
        request_id = request.headers.get("X-Request-Id", "")
        refusal = self._check(ask, request_id)
        if refusal is not None:
            return refusal
        text = self.write(ask)
        prompt = render_prompt(ask.messages)
        prefixes = hash_prefixes(ask.model, prompt)
        own_id = OWN_ID.search(prompt)
        cached = self.cache.use(prefixes) * BLOCK_WORDS
        prompt_tokens = sum(len(str(item.content).split()) for item in ask.messages)
        cached = min(cached, prompt_tokens)
        job = Job(
            request_id=request_id,
            own_id=own_id.group(1) if own_id else "",
            priority=ask.priority,
            produced=min(ask.resume_from, len(text.tokens)),
            total=len(text.tokens),
            prefill=(prompt_tokens - cached) * PREFILL_WORK,
        )
        reply = Reply(
            job=job,
            text=text,
            model=ask.model,
            request_id=self._pick_id(request_id),
            start=job.produced,
            prompt_tokens=prompt_tokens,
            cached_tokens=cached,
            cut_after=self.faults.cut_after_tokens,
        )
        self._jobs.setdefault(request_id, []).append(job)
        self.batch.submit(job)
        try:
            if ask.stream:
                return await reply.stream(request)
            return await reply.send(request)
        finally:
            self._forget(job)

    def _check(self, ask: Ask, request_id: str) -> web.Response | None:
        if not request_id:
            return refuse("bad_request", status=400)
        if self.faults.leaving:
            return refuse("leaving", status=503)
        if self.faults.refuse:
            return refuse("refused", status=503)
        if ask.model not in self.models.loaded:
            return refuse("version_not_loaded", status=409)
        if len(self.batch.waiting) >= self.max_waiting:
            return refuse("busy", status=429, retry_after_s=RETRY_AFTER_S)
        return None

    def _pick_id(self, request_id: str) -> str:
        other, self._last_id = self._last_id, request_id
        if self.roll(self.faults.crossed):
            return other if other != request_id else f"not-{request_id}"
        return request_id

    def _forget(self, job: Job) -> None:
        """Free the slot of a job whose client left, and drop its entry."""
        self.batch.drop(job)
        jobs = self._jobs[job.request_id]
        jobs.remove(job)
        if not jobs:
            del self._jobs[job.request_id]

    def _count_start(self, job: Job) -> None:
        if job.produced:
            self.resumes += 1
        else:
            self.runs.add(job.request_id)
            if job.own_id:
                self.effects.add(job.own_id)

    def _report(self) -> Report:
        batch = self.batch
        lie = self.faults.lie_load
        return Report(
            running=0 if lie else len(batch.running),
            waiting=0 if lie else len(batch.waiting),
            capacity=batch.capacity,
            versions=list(self.models.loaded),
            fence=self.models.fence,
            tokens_per_s=batch.tokens_per_s,
        )

    def _sample(self) -> None:
        now = self.now()
        if len(self._samples) > 1 and now - self._samples[-1][0] < SAMPLE_S:
            now = self._samples.pop()[0]
        self._samples.append((now, self._report()))

    async def _load(self, request: web.Request) -> web.Response:
        await self._thawed.wait()
        horizon = self.now() - self.faults.report_lag_s
        while len(self._samples) > 1 and self._samples[1][0] <= horizon:
            self._samples.popleft()
        return reply_json(self._samples[0][1])

    async def _order(self, request: web.Request) -> web.Response:
        order = await read_body(request, OrderBody)
        await self._thawed.wait()
        if self.models.is_stale(order):
            fence = self.models.fence
            return reply_json({"kind": "stale_fence", "fence": fence}, status=412)
        self.models.follow(order)
        loaded, loading = self.models.loaded, self.models.loading
        return reply_json({"loaded": loaded, "loading": loading})

    async def _cancel(self, request: web.Request) -> web.Response:
        jobs = list(self._jobs.get(request.match_info["request_id"], ()))
        if not jobs:
            return refuse("unknown_request", status=404)
        for job in jobs:
            self.batch.drop(job)
        return reply_json({"cancelled": len(jobs)})

    async def _cache_events(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get("after", "0"))
        except ValueError:
            return refuse("bad_request", status=400)
        await self._thawed.wait()
        events = self.cache.events(after)
        following = events[-1].sequence if events else after
        return reply_json({"events": events, "next": following})

    async def _show_runs(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        return reply_json({"runs": self.runs.get(request_id)})


def render_prompt(messages: list[Message]) -> str:
    """Return the text of a prompt."""
    return "\n".join(f"{item.role}: {item.content}" for item in messages)
