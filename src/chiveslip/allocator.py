"""Has the C library return the memory of large messages to the system at once."""

from __future__ import annotations

import ctypes

# Numbers of the parameters in malloc.h of the GNU C library.
_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3
# Above the buffers of single reads, which are reused often.
_LARGE_BYTES = 256 << 10


def return_large_blocks() -> None:
    """Give large blocks a mapping of their own, which ends with them.

    By default the library takes them from its heap after the first one was freed.
    Bodies that grow side by side then leave holes in it, which stay with the process.
    Other C libraries have no such parameter; nothing is done.
    """
    set_parameter = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_parameter is not None:
        set_parameter(_MMAP_THRESHOLD, _LARGE_BYTES)
        set_parameter(_TRIM_THRESHOLD, _LARGE_BYTES)
