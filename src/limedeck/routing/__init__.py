"""Routing decisions without I/O: which back end gets a request, and what follows a failure."""
