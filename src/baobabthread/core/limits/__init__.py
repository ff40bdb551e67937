"""Limits, fair queues and budgets of retries."""
