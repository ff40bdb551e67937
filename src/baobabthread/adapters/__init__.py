"""Adapters that join the ports to HTTP, the log, engines and metrics."""
