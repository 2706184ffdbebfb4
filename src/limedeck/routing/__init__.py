"""Routing decisions without I/O: choice of a back end, and handling of failed attempts."""
