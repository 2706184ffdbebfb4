"""The daemon: everything that does I/O around the decision cores."""
