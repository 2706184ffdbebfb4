"""Stores whose data survives the loss of every node: interfaces, and one adapter per file."""
