"""The process of one instance: its connections, feeds, listeners and life."""
