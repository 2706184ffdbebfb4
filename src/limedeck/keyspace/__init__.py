"""The key space: hashing of keys, slices, and planning of their owners."""
