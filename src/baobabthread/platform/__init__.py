"""The platform's names, formats and calls; nothing here decides."""
