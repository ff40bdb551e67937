"""Experiments with baselines; each prints a table and writes its figures."""
