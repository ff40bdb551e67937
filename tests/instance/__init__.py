"""Tests of the package of this name."""
