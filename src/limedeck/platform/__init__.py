"""Adapters of the users' platform: its names, formats and calls as limedeck's own types.

They only translate: retries, time-outs and other decisions are left to their callers.
"""
