"""Stand-ins for the systems around limedeck, with faults that can be set at run time."""
