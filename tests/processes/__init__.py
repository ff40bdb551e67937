"""Runs of real processes over real sockets, under load and faults."""
