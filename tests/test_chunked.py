"""Compare the chunked coding with that of h11 on the same bytes."""

import h11
import hypothesis
from hypothesis import strategies
import pytest

from sycamoredale.http import chunked

BODIES = strategies.lists(strategies.binary(min_size=1, max_size=40))
PIECE_SIZES = strategies.lists(strategies.integers(1, 9), min_size=1)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _pieces(data: bytes, piece_sizes: list[int]) -> list[bytes]:
    pieces = []
    start = 0
    while start < len(data):
        size = piece_sizes[len(pieces) % len(piece_sizes)]
        pieces.append(data[start : start + size])
        start += size
    return pieces


def _read_with_h11(data: bytes) -> bytes | None:
    """Return the body, or None if it is malformed or incomplete."""
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target="/", headers=[("Host", "a")])
    connection.send(request)
    connection.send(h11.EndOfMessage())
    connection.receive_data(HEAD + data)
    body = b""
    try:
        while True:
            event = connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return body
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Data):
                body += event.data
    except h11.RemoteProtocolError:
        return None


def _read(pieces: list[bytes]) -> bytes | None:
    reader = chunked.ChunkedReader()
    try:
        body = b"".join(reader.feed(piece) for piece in pieces)
    except ValueError:
        return None
    return body if reader.complete else None


@hypothesis.given(BODIES, PIECE_SIZES)
def test_reads_the_same_body_as_h11(
    parts: list[bytes], piece_sizes: list[int]
) -> None:
    data = (
        b"".join(chunked.encode_chunk(part) for part in parts) + b"0\r\n\r\n"
    )
    assert _read(_pieces(data, piece_sizes)) == b"".join(parts)
    assert _read_with_h11(data) == b"".join(parts)


@hypothesis.given(BODIES, PIECE_SIZES, strategies.data())
def test_agrees_with_h11_on_damaged_bytes(
    parts: list[bytes], piece_sizes: list[int], draw: strategies.DataObject
) -> None:
    data = (
        b"".join(chunked.encode_chunk(part) for part in parts) + b"0\r\n\r\n"
    )
    position = draw.draw(strategies.integers(0, len(data) - 1))
    replacement = draw.draw(strategies.sampled_from(b"\r\n0aG;+x_ "))
    damaged = data[:position] + bytes([replacement]) + data[position + 1 :]
    # h11 accepts a bare line feed as a line end; ChunkedReader rejects it.
    own_body = _read(_pieces(damaged, piece_sizes))
    h11_body = _read_with_h11(damaged)
    assert own_body == h11_body or own_body is None


TRAILER_PARTS = strategies.sampled_from(
    (
        b"X",
        b":",
        b" ",
        b"\t",
        b"\x00",
        b"\x0b",
        b"\x7f",
        b"\xff",
        b"\r",
        b"\n",
        b"\r\n",
        b"a-b",
        b"(",
        b"Content-Length: 1",
        b"Transfer-Encoding: gzip",
    )
)


# Guards against a malformed trailer that ends a body as complete.
@hypothesis.given(strategies.lists(TRAILER_PARTS, max_size=8), PIECE_SIZES)
@hypothesis.example([b"\x00", b"\r\n"], [9])
@hypothesis.example([b" ", b"X", b"\r\n"], [9])
@hypothesis.example([b"X", b":", b"\r\n", b" ", b"\xff", b"\r\n"], [9])
@hypothesis.settings(max_examples=500)
def test_accepts_no_trailer_that_h11_refuses(
    parts: list[bytes], piece_sizes: list[int]
) -> None:
    data = b"1\r\na\r\n0\r\n" + b"".join(parts) + b"\r\n"
    own_body = _read(_pieces(data, piece_sizes))
    assert own_body in (None, _read_with_h11(data))


@pytest.mark.parametrize(
    "line", [b"X: y", b"X:", b"a-b: \xe4 z ", b"X: a\r\n b"]
)
def test_accepts_each_form_of_a_trailer_line(line: bytes) -> None:
    assert _read([b"1\r\na\r\n0\r\n" + line + b"\r\n\r\n"]) == b"a"


def test_trailer_is_limited() -> None:
    reader = chunked.ChunkedReader()
    reader.feed(b"0\r\n")
    with pytest.raises(ValueError, match="trailer"):
        for _ in range(10_000):
            reader.feed(b"X: y\r\n")


@pytest.mark.parametrize("data", [b"+5\r\n", b"0x5\r\n", b"1_0\r\n", b"\r\n"])
def test_size_that_is_not_hexadecimal_is_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match="size line"):
        chunked.ChunkedReader().feed(data)


def test_data_after_the_body_is_kept() -> None:
    reader = chunked.ChunkedReader()
    assert reader.feed(b"1\r\na\r\n0\r\nX: y\r\n\r\nHTTP/1.1") == b"a"
    assert reader.complete
    assert reader.remainder == b"HTTP/1.1"


def test_size_line_is_limited() -> None:
    with pytest.raises(ValueError, match="size line"):
        chunked.ChunkedReader().feed(b"1;" + b"x" * 5000)
