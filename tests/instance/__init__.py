"""Tests of `baobabthread.instance`."""
