"""Stand-ins for the systems around limedeck, each with faults that are switched at run time."""
