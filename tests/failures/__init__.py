"""Fault matrices: every fault at every step of a protocol."""
