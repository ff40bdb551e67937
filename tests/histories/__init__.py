"""Concurrent runs whose histories are checked against sequential models."""
