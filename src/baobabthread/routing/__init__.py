"""Decisions on requests with opaque bodies: routes, versions, models and limits."""
