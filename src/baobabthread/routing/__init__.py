"""Decisions on requests whose bodies are opaque: routes, versions, models, limits."""
