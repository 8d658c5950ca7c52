"""Read and write the chunked transfer coding of RFC 9112, section 7.1.

h11 handles heads and all other framing.  The chunks of a streamed answer are
handled here, because one arrives for each token: decoding and encoding a
chunk with h11 costs about as much as its system calls.
"""

import re
from typing import Final

SIZE_LINE_PATTERN: Final = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n"
)
TRAILER_LINE_PATTERN: Final = re.compile(
    rb"([-!#$%&'*+.^_`|~0-9A-Za-z]+):[^\x00\n\r\f\v]*"
)
# Continues the line before it, an obsolete form that h11 accepts.
FOLDED_LINE_PATTERN: Final = re.compile(rb"[ \t]+[^\x00\n\r\f\v]*")
# Fields that decide on the framing and cannot come after the body.
FRAMING_FIELDS: Final = frozenset((b"content-length", b"transfer-encoding"))
MAX_LINE_BYTES: Final = 4096
MAX_TRAILER_BYTES: Final = 16384
LINE_END: Final = b"\r\n"


class ChunkedReader:
    """Decode the chunks of one body as they arrive.

    When the body has ended, `complete` is true and `remainder` has the bytes
    received after it.
    """

    def __init__(self) -> None:
        """Start before the first chunk."""
        self.complete = False
        self.remainder = b""
        self._bytes_left = 0
        self._in_trailer = False
        self._trailer_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return the body bytes in `data`; raise ValueError if malformed."""
        buffer = self.remainder + data if self.remainder else data
        parts: list[bytes] = []
        position = 0
        while not self.complete and position < len(buffer):
            start = position
            if self._bytes_left:
                position = self._parse_data(buffer, position, parts)
            elif self._in_trailer:
                position = self._parse_trailer(buffer, position)
            else:
                position = self._parse_size(buffer, position)
            if position == start:
                break
        self.remainder = buffer[position:]
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _parse_size(self, buffer: bytes, position: int) -> int:
        found = SIZE_LINE_PATTERN.match(buffer, position)
        if found is None:
            _check_partial_line(buffer, position)
            return position
        size = int(found[1], 16)
        if size:
            self._bytes_left = size + len(LINE_END)
        else:
            self._in_trailer = True
        return found.end()

    def _parse_data(
        self, buffer: bytes, position: int, parts: list[bytes]
    ) -> int:
        end = position + self._bytes_left
        data_end = end - len(LINE_END)
        if len(buffer) >= end:
            if buffer[data_end:end] != LINE_END:
                raise ValueError("the data of a chunk is not followed by CRLF")
            self._bytes_left = 0
            if data_end > position:
                parts.append(buffer[position:data_end])
            return end
        # The CRLF stays in the buffer until it has arrived completely.
        available = min(len(buffer), data_end)
        if available > position:
            parts.append(buffer[position:available])
            self._bytes_left -= available - position
            return available
        return position

    def _parse_trailer(self, buffer: bytes, position: int) -> int:
        end = buffer.find(LINE_END, position)
        if end < 0:
            _check_partial_line(buffer, position)
            return position
        self.complete = end == position
        if not self.complete:
            self._check_trailer_line(buffer[position:end])
        return end + len(LINE_END)

    def _check_trailer_line(self, line: bytes) -> None:
        if len(line) > MAX_LINE_BYTES:
            raise ValueError(f"a trailer line exceeds {MAX_LINE_BYTES} bytes")
        may_fold = self._trailer_bytes > 0
        self._trailer_bytes += len(line)
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise ValueError(f"the trailer exceeds {MAX_TRAILER_BYTES} bytes")
        if may_fold and FOLDED_LINE_PATTERN.fullmatch(line):
            return
        field = TRAILER_LINE_PATTERN.fullmatch(line)
        if field is None:
            raise ValueError("a trailer line is not a header field")
        if field[1].lower() in FRAMING_FIELDS:
            raise ValueError(f"the trailer has the field {field[1]!r}")


def encode_chunk(data: bytes) -> bytes:
    """Encode data, which must not be empty, as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _check_partial_line(buffer: bytes, position: int) -> None:
    """Raise ValueError if no more bytes can make the line valid."""
    if LINE_END in buffer[position:] or (
        len(buffer) - position > MAX_LINE_BYTES
    ):
        raise ValueError("a chunk has no valid size line")
