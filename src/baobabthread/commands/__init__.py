"""The commands: one class each, its fields are the options."""
