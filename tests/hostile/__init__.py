"""Clients that ignore the limits, one crowd at a time."""
