"""Tests of the decisions that need no I/O."""
