"""Split server-sent events from the bytes of a stream as they arrive.

Only complete events leave the buffer, so that another endpoint can continue
a stream after the last one.
"""

import dataclasses
from typing import Final

EVENT_END: Final = b"\n\n"
# An event has a few tokens; a longer one is no event.
MAX_EVENT_BYTES: Final = 1024 * 1024


@dataclasses.dataclass
class EventBuffer:
    """Hold the incomplete event at the end of a stream."""

    _partial: bytearray = dataclasses.field(default_factory=bytearray)

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that a chunk completes.

        Raises ValueError if an event exceeds MAX_EVENT_BYTES.
        """
        if not self._partial and chunk.endswith(EVENT_END):
            return chunk
        # The end of an event may have arrived in two pieces.
        searched = max(0, len(self._partial) - len(EVENT_END) + 1)
        self._partial += chunk
        end = self._partial.rfind(EVENT_END, searched)
        if end < 0:
            if len(self._partial) > MAX_EVENT_BYTES:
                raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            return b""
        end += len(EVENT_END)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        return complete

    def clear(self) -> None:
        """Drop the incomplete event."""
        self._partial.clear()

    @property
    def size(self) -> int:
        """Return the number of bytes of the incomplete event."""
        return len(self._partial)

    @property
    def is_blank(self) -> bool:
        """Return whether no part of an event is held."""
        return not self._partial.strip()
