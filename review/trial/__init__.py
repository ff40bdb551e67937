"""Stand-ins of the platform, its workers and clients, for the cases of the review."""
