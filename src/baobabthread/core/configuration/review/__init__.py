"""The review of a configuration before it is sent."""
