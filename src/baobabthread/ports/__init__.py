"""Small protocol classes that the core and the shell rely on."""
