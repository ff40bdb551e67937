"""The way of a request through an entry."""
