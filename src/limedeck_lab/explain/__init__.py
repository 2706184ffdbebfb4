"""Reads the logs of several nodes and reconstructs the history of one request or one key."""
