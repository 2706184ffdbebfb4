"""Stores that outlast every node: abstract classes, and one adapter a file."""
