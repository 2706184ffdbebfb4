"""``python3 -m limedeck.node``: the node's command, started with little processor time.

The objects that loading modules makes stay. The garbage collector would look through them again and
again meanwhile, an eighth of the processor time to start (docs/LIBRARIES.md), and at each full
collection later.
"""

from __future__ import annotations

import gc
import importlib


def start() -> None:
    """Load the node's modules without collections, then run its command."""
    gc.disable()
    command = importlib.import_module("limedeck.node.main")
    gc.freeze()
    gc.enable()
    command.main()


if __name__ == "__main__":
    start()
