"""The simulation: the product's own cores run on simulated time, network and faults."""
