"""Route requests to models and plain services, by version, at the lowest cost."""

__version__ = "0.1.0"
