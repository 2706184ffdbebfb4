"""Stores that outlast all nodes: interfaces, and one adapter per file."""
