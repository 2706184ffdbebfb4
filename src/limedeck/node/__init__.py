"""The process that runs on every machine: the sockets and timers around the decision cores."""
