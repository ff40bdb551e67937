"""Tests of the experiments' own parts."""
