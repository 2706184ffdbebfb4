"""The users' platform: its names, formats and calls, translated into the product's own types.

Nothing here decides: no retry, no time-out rule, no choice.
"""
