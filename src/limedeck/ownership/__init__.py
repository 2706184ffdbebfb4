"""Ownership of keys by back ends: election, grants, releases and moves, without I/O."""
