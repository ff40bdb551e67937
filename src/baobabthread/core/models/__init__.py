"""Which version or model answers a request, and when to escalate."""
