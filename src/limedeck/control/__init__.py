"""Control decisions without I/O: election, replication, leases, membership and dissemination.

Each state machine takes typed events with the time of its own clock and returns typed commands.
"""
