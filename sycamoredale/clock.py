"""Read the clocks of the machine.

Decision functions take the current time as an argument.  Only tasks at the
edge of a process read a clock, through this module.
"""

import collections.abc
import time
import typing

MonotonicTime = typing.NewType("MonotonicTime", float)
WallTime = typing.NewType("WallTime", float)
ReadClock = collections.abc.Callable[[], MonotonicTime]


def monotonic() -> MonotonicTime:
    """Return the monotonic time in seconds, including suspended time.

    If suspended time were not counted, a lease could appear valid after its
    end on a machine that resumes.
    """
    return MonotonicTime(time.clock_gettime(time.CLOCK_BOOTTIME))


def wall() -> WallTime:
    """Return the wall clock time in seconds since the epoch."""
    return WallTime(time.time())
