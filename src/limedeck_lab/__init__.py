"""The lab: stand-ins for the platform and for back ends, load, simulation and measurements."""
