"""Reads the logs of many nodes and tells the story of one request, or of one key."""
