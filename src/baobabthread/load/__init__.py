"""The load tool: callers that ask, check every answer and count."""
