"""
oriolelock.bench.machine
~~~~~~~~~~~~~~~~~~~~~~~~

    What the machine was doing while a figure was taken.
"""

import os
import pathlib

__all__ = ["cpu_s", "load", "memory_mb"]

KB_PER_MB = 1024


def load() -> float:
    """Return the load average of the last minute."""
    return round(os.getloadavg()[0], 1)


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / KB_PER_MB, 1)
    raise ValueError(f"process {pid} has no resident memory")


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
