"""Decisions on backend servers that hold for all instances together."""
