"""Versions that come and go: roll-outs, detection, orders to engines."""
