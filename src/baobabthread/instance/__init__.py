"""The instance process: connections, topic readers, listeners and life cycle."""
