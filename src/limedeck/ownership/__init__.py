"""Which back end owns each key: election, grants, releases and moves. No I/O."""
