"""Read the clocks of this instance.

Functions that decide take the present time as an argument; only tasks at
the edge of a process read a clock, and they read it here.
"""

import time
import typing

MonotonicTime = typing.NewType("MonotonicTime", float)
WallTime = typing.NewType("WallTime", float)


def monotonic() -> MonotonicTime:
    """Return the monotonic time in seconds.

    It counts the time in which the machine was suspended, so that a lease
    cannot outlive its end on a machine that wakes up.
    """
    return MonotonicTime(time.clock_gettime(time.CLOCK_BOOTTIME))


def wall() -> WallTime:
    """Return the wall clock time in seconds since the epoch."""
    return WallTime(time.time())
