"""Read and write HTTP/1.1 messages over asyncio streams.

Only what the stand-ins need: bodies with a length, chunked bodies, bodies
that end with their connection.
"""

import asyncio
import dataclasses
import json


@dataclasses.dataclass
class Message:
    """Hold a request or a response; header names are in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Return the body that follows a head; raise IncompleteReadError."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if size == 0:
                return b"".join(parts)
    length = head.headers.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    if head.first.startswith("HTTP/") and head.status not in (204, 304):
        return await reader.read()
    return b""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a message with its body, or None at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        head.body = await read_body(reader, head)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def json_answer(status: int, value: object) -> bytes:
    """Return a response with a JSON body."""
    return encode(
        f"HTTP/1.1 {status} X",
        {"Content-Type": "application/json"},
        json.dumps(value).encode(),
    )
