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
    dropped: int = 0
    _tokens: float = BURST_LINES
    _filled_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    _cut: bool = False

    def __post_init__(self) -> None:
        """Make the descriptor return at once when its pipe is full."""
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> int:
        """Write a line or drop it; return the length of the text."""
        if self._take(self.read_clock()):
            self._put(text)
        else:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; every line is written at once."""

    def _put(self, text: str) -> None:
        data = text.encode()
        if self._cut:
            data = b"\n" + data
        if self.dropped:
            note = b'{"event": "log_lines_dropped", "lines": %d}\n'
            data = note % self.dropped + data
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            # There is no other place to tell of it; the count is kept.
            self.dropped += 1
            return
        self._cut = written < len(data)
        self.dropped = 1 if self._cut else 0

    def _take(self, now: clock.MonotonicTime) -> bool:
        grown = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + grown)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
