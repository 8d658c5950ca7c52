"""Compare the chunked coding with h11 on the same bytes."""

import h11
import hypothesis
from hypothesis import strategies
import pytest

from sycamoredale.http import chunked

BODIES = strategies.lists(strategies.binary(min_size=1, max_size=40))
CUTS = strategies.lists(strategies.integers(1, 9), min_size=1)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    pieces = []
    start = 0
    while start < len(data):
        size = cuts[len(pieces) % len(cuts)]
        pieces.append(data[start : start + size])
        start += size
    return pieces


def _read_with_h11(data: bytes) -> bytes | None:
    """Return the body, or None if it is malformed or cut short."""
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


@hypothesis.given(BODIES, CUTS)
def test_reads_what_h11_reads(parts: list[bytes], cuts: list[int]) -> None:
    data = (
        b"".join(chunked.encode_chunk(part) for part in parts) + b"0\r\n\r\n"
    )
    assert _read(_pieces(data, cuts)) == b"".join(parts)
    assert _read_with_h11(data) == b"".join(parts)


@hypothesis.given(BODIES, CUTS, strategies.data())
def test_agrees_with_h11_on_damaged_bytes(
    parts: list[bytes], cuts: list[int], draw: strategies.DataObject
) -> None:
    data = (
        b"".join(chunked.encode_chunk(part) for part in parts) + b"0\r\n\r\n"
    )
    place = draw.draw(strategies.integers(0, len(data) - 1))
    damage = draw.draw(strategies.sampled_from(b"\r\n0aG;+x_ "))
    damaged = data[:place] + bytes([damage]) + data[place + 1 :]
    # h11 takes a bare line feed for a line end, this reader does not.
    mine, theirs = _read(_pieces(damaged, cuts)), _read_with_h11(damaged)
    assert mine == theirs or mine is None


@pytest.mark.parametrize("data", [b"+5\r\n", b"0x5\r\n", b"1_0\r\n", b"\r\n"])
def test_refuses_sizes_that_are_not_hexadecimal(data: bytes) -> None:
    with pytest.raises(ValueError, match="size line"):
        chunked.ChunkedReader().feed(data)


def test_keeps_what_follows_the_body() -> None:
    reader = chunked.ChunkedReader()
    assert reader.feed(b"1\r\na\r\n0\r\nX: y\r\n\r\nHTTP/1.1") == b"a"
    assert reader.complete
    assert reader.remainder == b"HTTP/1.1"


def test_bounds_an_endless_size_line() -> None:
    with pytest.raises(ValueError, match="size line"):
        chunked.ChunkedReader().feed(b"1;" + b"x" * 5000)
