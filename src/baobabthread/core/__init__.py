"""Deterministic decisions and protocols: no I/O, no clock, no global randomness."""
