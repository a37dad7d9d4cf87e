"""The memory of this process as the system reports it."""

import os
import resource
from pathlib import Path

STATM = Path("/proc/self/statm")  # proc(5): sizes in pages, the second one is what is resident
KIB = 1024


def current_bytes() -> int:
    """Return the resident memory of this process; 0 where the system does not tell."""
    try:
        return int(STATM.read_text().split()[1]) * os.sysconf("SC_PAGESIZE")
    except (OSError, ValueError, IndexError):
        return 0


def resident_bytes() -> int:
    """Return the resident memory of this process; the peak where the system does not tell."""
    return current_bytes() or peak_bytes()


def peak_bytes() -> int:
    """Return the largest resident memory so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
