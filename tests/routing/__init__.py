"""Tests of baobabthread.routing."""
