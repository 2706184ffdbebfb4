"""``python3 -m limedeck.node``: the node's command, started with little processor time.

The objects that loading modules makes stay. The garbage collector would look through them again and
again meanwhile, an eighth of the processor time to start (docs/LIBRARIES.md), and at each full
collection later.
"""

from __future__ import annotations

import gc
import importlib
import signal


def start() -> None:
    """Load the node's modules without collections, then run its command.

    By default a signal that tells of changed settings ends a process. They are read after the
    modules, which take half a second of processor time; from then on the node handles it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    command = importlib.import_module("limedeck.node.main")
    gc.freeze()
    gc.enable()
    command.main()


if __name__ == "__main__":
    start()
