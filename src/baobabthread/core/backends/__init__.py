"""Backend servers, and which of them gets a request."""
