"""limedeck: a router for servers that own keys exclusively."""
