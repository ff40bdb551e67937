"""The process of one instance: its connections, topic readers, listeners and life."""
