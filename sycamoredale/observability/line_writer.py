"""Write log lines without ever waiting, within a bound of lines a second.

A reader that is too slow, or a fault that repeats itself, costs lines and
never the work of the daemon.  The next line that is written tells how many
were dropped.
"""

import dataclasses
import os
from typing import Final

from sycamoredale import clock
from sycamoredale import leases

# Several times what a daemon writes for 71 calls a second, its share of
# the target.
LINES_PER_SECOND: Final = 400.0
BURST_LINES: Final = 800.0


@dataclasses.dataclass(eq=False)
class LineWriter:
    """Take the lines of a logger for one file descriptor."""

    descriptor: int
    read_clock: leases.ReadClock = clock.monotonic
    dropped_lines: int = 0
    _tokens: float = BURST_LINES
    _refilled_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    _last_line_truncated: bool = False

    def __post_init__(self) -> None:
        """Make the descriptor return at once when its pipe is full."""
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> int:
        """Write a line or drop it; return the length of the text."""
        if self._try_take_token(self.read_clock()):
            self._write_line(text)
        else:
            self.dropped_lines += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; every line is written at once."""

    def _write_line(self, text: str) -> None:
        data = text.encode()
        if self._last_line_truncated:
            data = b"\n" + data
        if self.dropped_lines:
            notice = b'{"event": "log_lines_dropped", "lines": %d}\n'
            data = notice % self.dropped_lines + data
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            # There is no other place to tell of it; the count is kept.
            self.dropped_lines += 1
            return
        self._last_line_truncated = written < len(data)
        self.dropped_lines = 1 if self._last_line_truncated else 0

    def _try_take_token(self, now: clock.MonotonicTime) -> bool:
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
