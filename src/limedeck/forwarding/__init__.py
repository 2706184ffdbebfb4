"""One request's way through a node: route, back end, attempts, answer. No I/O."""
