"""``python3 -m limedeck.node``: runs the node's command with a low start-up time.

The objects that are created while modules are imported stay alive. Scanning them repeatedly during
the import would cost the garbage collector an eighth of the processor time of the start
(docs/LIBRARIES.md), and more at each full collection later.
"""

from __future__ import annotations

import gc
import importlib
import signal


def start() -> None:
    """Import the node's modules without garbage collection, then run its command.

    SIGHUP, which asks for a reload of the settings, terminates a process by default, so it is
    ignored until the node handles it. The settings are only read after the modules, whose import
    takes half a second of processor time.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    command = importlib.import_module("limedeck.node.main")
    gc.freeze()
    gc.enable()
    command.main()


if __name__ == "__main__":
    start()
