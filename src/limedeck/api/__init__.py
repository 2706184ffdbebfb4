"""Messages and remote procedure calls generated from the schemas in ``proto/``."""
