"""Forwarding of requests: routes, back-end selection, attempts and refusals. No I/O."""
