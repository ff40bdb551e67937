"""The shared parts of a request's prompt, as engines cache them."""

from __future__ import annotations

import xxhash

from baobabthread.core.backends.loads import Part
from baobabthread.instance.context import RequestContext

PART_KEY_BITS = 48
"""Bits of a part's key. Among a hundred thousand parts a collision occurs once in
50,000 days, and leads to a wrong estimate of the reading time."""


def list_parts(context: RequestContext, model: str | None) -> tuple[Part, ...]:
    """Return the shared parts of a prompt, with keys for a model's cache.

    A cached part is valid for one model and only after the same preceding parts.
    """
    if not context.route.has_prompts:
        return ()
    parts = []
    path = model or ""
    for part in context.request.envelope.prompt_parts[:-1]:
        path = f"{path}/{part.id}"
        digest = xxhash.xxh3_64_intdigest(path.encode(errors="surrogatepass"))
        parts.append(Part(key=digest >> (64 - PART_KEY_BITS), tokens=part.tokens))
    return tuple(parts)
