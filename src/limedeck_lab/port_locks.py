"""Reserves ports for the processes of a run, so that no two runs on this machine use the same port.

A process listens on its port a second after the run has found it free; without a reservation
another run would find the port free in between. A reservation is a lock on a file in a folder that
all runs share; the system releases it when the process that holds it ends, for whatever reason.
"""

from __future__ import annotations

import fcntl
import io
import pathlib
import tempfile

DEFAULT_FOLDER = "limedeck-ports"


class PortLocks:
    """Port reservations of this process.

    Parameters
    ----------
    folder
        Folder of the lock files; runs that share it do not reserve the same ports.
    """

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self._folder = folder or pathlib.Path(tempfile.gettempdir()) / DEFAULT_FOLDER
        self._lock_files: dict[int, io.BufferedWriter] = {}

    def try_reserve(self, port: int) -> bool:
        """Reserve a port until this process ends; return False if it is reserved already.

        Raises
        ------
        OSError
            The folder cannot be written.
        """
        if port in self._lock_files:
            return False
        self._folder.mkdir(parents=True, exist_ok=True)
        file = (self._folder / str(port)).open("ab")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            file.close()
            return False
        self._lock_files[port] = file
        return True

    def release_all(self) -> None:
        """Release all reservations."""
        for file in self._lock_files.values():
            file.close()
        self._lock_files.clear()
