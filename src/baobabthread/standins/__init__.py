"""Stand-ins of the platform and of the backend servers, for demos and tests."""
