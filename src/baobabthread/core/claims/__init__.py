"""Keys of non-idempotent requests, and who may run each of them once."""
