"""Ports that runs on this machine reserve for their processes, so that no two runs take the same.

A run looks for a free port, and its process listens there a second later. Another run would find
the port free in between. Each reservation is a lock on a file that all runs see; it ends with the
process that holds it, however that ends.
"""

from __future__ import annotations

import fcntl
import io
import pathlib
import tempfile

FOLDER = "limedeck-ports"


class PortLocks:
    """Reservations of this process.

    Parameters
    ----------
    folder
        Where the files are; runs that share it keep out of each other's way.
    """

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self._folder = folder or pathlib.Path(tempfile.gettempdir()) / FOLDER
        self._held: dict[int, io.BufferedWriter] = {}

    def try_reserve(self, port: int) -> bool:
        """Reserve a port until this process ends, unless it is reserved already, here or by others.

        Raises
        ------
        OSError
            The folder cannot be written.
        """
        if port in self._held:
            return False
        self._folder.mkdir(parents=True, exist_ok=True)
        file = (self._folder / str(port)).open("ab")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            file.close()
            return False
        self._held[port] = file
        return True

    def release_all(self) -> None:
        """Give all reservations up."""
        for file in self._held.values():
            file.close()
        self._held.clear()
