"""Write log lines without blocking and with a rate limit.

If the reader of the pipe is too slow or the same fault is logged very often,
lines are dropped and the daemon isn't delayed. A line before the next one
that is written gives the number of dropped lines.
"""

import dataclasses
import os
from typing import Final

from sycamoredale import clock
from sycamoredale import leases

# Several times the lines that a daemon logs at 71 calls per second, its share
# of the target load.
LINES_PER_SECOND: Final = 400.0
BURST_LINES: Final = 800.0


@dataclasses.dataclass(eq=False)
class LineWriter:
    """Write the lines of a logger to a non-blocking file descriptor."""

    descriptor: int
    read_clock: leases.ReadClock = clock.monotonic
    dropped_lines: int = 0
    _tokens: float = BURST_LINES
    _refilled_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    _last_line_truncated: bool = False

    def __post_init__(self) -> None:
        """Make writes to a full pipe fail instead of block."""
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> int:
        """Write a line or drop it; return the length of the text."""
        if self._try_take_token(self.read_clock()):
            self._write_line(text)
        else:
            self.dropped_lines += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, because lines are not buffered."""

    def _write_line(self, text: str) -> None:
        data = text.encode()
        if self._last_line_truncated:
            data = b"\n" + data  # Terminates the truncated line.
        if self.dropped_lines:
            notice = b'{"event": "log_lines_dropped", "lines": %d}\n'
            data = notice % self.dropped_lines + data
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            # There is no other output to log to; the line counts as dropped.
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
