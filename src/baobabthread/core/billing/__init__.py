"""Bills of requests, each written exactly once."""
