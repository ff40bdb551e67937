"""Tests of the soak: its checks find what is broken, short runs keep all promises."""
