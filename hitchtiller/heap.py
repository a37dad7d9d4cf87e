"""Settings of the C library's allocator (glibc), so that memory that was freed goes back to the system.

By default glibc raises the size from which it maps blocks on their own with each such block that is freed, to
32 MB at most. After the first large body all others come from the heap, where one small block in use keeps
everything below it. With other C libraries nothing is done.
"""

import contextlib
import ctypes

M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3  # options of mallopt(3)
MAPPED_BLOCK_BYTES = 32 * 1024  # blocks of this size and more are mapped on their own
TRIM_BYTES = 256 * 1024  # free bytes at the top of the heap that are given back


def set_up() -> None:
    """Map large blocks on their own, always; both values stay as they are set."""
    with contextlib.suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, TRIM_BYTES)


def trim() -> None:
    """Give the free pages of the heap back to the system (malloc_trim(3))."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
