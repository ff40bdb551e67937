"""HTTP listeners whose connections are bounded in number, size and time."""
