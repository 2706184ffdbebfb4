"""Simulation of election and ownership on a store, with faults and an independent check."""
