"""Tests of the standins."""
