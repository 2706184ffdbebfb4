"""Operators' configuration objects, their store, each node's replica, and the settings file."""
