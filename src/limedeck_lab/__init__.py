"""Stand-ins for the platform and back ends, load generation, simulation and measurements."""
