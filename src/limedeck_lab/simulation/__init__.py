"""The simulation: the product's own cores around simulated time, network and faults."""
