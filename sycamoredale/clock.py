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


def ms_since(at: MonotonicTime, now: MonotonicTime) -> int:
    """Return the age of a time in milliseconds, 0 if it is to come."""
    return max(0, int(1000 * (now - at)))


def ms_before(ms: int, now: MonotonicTime) -> MonotonicTime:
    """Return the time some milliseconds ago; it is never to come."""
    return MonotonicTime(now - max(0, ms) / 1000)
