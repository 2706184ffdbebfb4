"""``python3 -m limedeck.node``: the node's command, started with little processor time.

Loading modules makes some 100,000 objects that stay. The garbage collector would look through them
again and again meanwhile, and at each full collection later: a twelfth of the time to start.
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
