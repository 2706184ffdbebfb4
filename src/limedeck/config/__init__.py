"""The operators' objects: validation, the replica every node holds, and the settings file."""
