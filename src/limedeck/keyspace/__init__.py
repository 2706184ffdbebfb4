"""The key line: hashing, slices and the planning of who owns what."""
