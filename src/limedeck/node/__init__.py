"""The process that runs on every machine: sockets, timers and the cores they drive."""
