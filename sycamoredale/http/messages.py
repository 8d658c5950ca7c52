"""Represent HTTP requests and responses.

Header names keep their case and are compared without regard to it.
"""

import collections.abc
import dataclasses
import re
from typing import Final
import urllib.parse

import msgspec

JSON_TYPE: Final = "application/json"
EVENT_STREAM_TYPE: Final = "text/event-stream"
# These apply to one connection and are not forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
    "connection content-length expect keep-alive proxy-connection te "
    "trailer transfer-encoding upgrade".split()
)
# An IP address or a host name; name lookups raise other errors for the rest.
_HOST: Final = re.compile(
    r"[0-9A-Fa-f:.]{2,45}|(?=.{1,253}$)[\w-]{1,63}(\.[\w-]{1,63})*",
    re.ASCII,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Identify a listening socket by IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as `host:port`."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address `host:port`; raise ValueError."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise ValueError(f"address {text!r} is not of the form host:port")
    if int(port) > 65535:
        raise ValueError(f"port {port} of address {text!r} exceeds 65535")
    return Address(host, int(port))


def parse_destination(text: str) -> Address:
    """Parse the address of another process; raise ValueError."""
    address = parse_address(text)
    if not address.port:
        raise ValueError(f"address {text!r} has port 0")
    if not _HOST.fullmatch(address.host):
        raise ValueError(f"address {text!r} names no host")
    return address


class Headers:
    """Store header fields in order of arrival."""

    __slots__ = ("fields",)

    def __init__(
        self, fields: collections.abc.Iterable[tuple[str, str]] = ()
    ) -> None:
        """Copy the pairs of name and value."""
        self.fields: list[tuple[str, str]] = list(fields)

    def get(self, name: str) -> str | None:
        """Return the first value of a field, without regard to case."""
        lowered = name.lower()
        for field, value in self.fields:
            if field.lower() == lowered:
                return value
        return None

    def with_field(self, name: str, value: str) -> "Headers":
        """Return a copy in which the field has just this value."""
        lowered = name.lower()
        kept = [pair for pair in self.fields if pair[0].lower() != lowered]
        return Headers([*kept, (name, value)])

    def without(self, names: collections.abc.Set[str]) -> "Headers":
        """Return a copy without the fields named in lower case."""
        return Headers(p for p in self.fields if p[0].lower() not in names)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Represent a request with its complete body."""

    method: str
    target: str
    headers: Headers = dataclasses.field(default_factory=Headers)
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    def query(self, name: str) -> str | None:
        """Return the first value of a query parameter."""
        query = self.target.partition("?")[2]
        values = urllib.parse.parse_qs(query).get(name)
        return values[0] if values else None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Represent the status and headers of a response."""

    status: int
    headers: Headers = dataclasses.field(default_factory=Headers)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether nothing but the close of the connection ends it."""
        return (
            self.headers.get("Content-Length") is None
            and self.headers.get("Transfer-Encoding") is None
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Represent a response with its complete body."""

    status: int
    headers: Headers = dataclasses.field(default_factory=Headers)
    body: bytes = b""


def json_request(
    method: str,
    target: str,
    value: object,
    extra_headers: collections.abc.Iterable[tuple[str, str]] = (),
) -> Request:
    """Return a request whose body is the value in JSON."""
    headers = Headers([("Content-Type", JSON_TYPE), *extra_headers])
    return Request(method, target, headers, msgspec.json.encode(value))


def json_response(status: int, value: object) -> Response:
    """Return a response whose body is the value in JSON."""
    headers = Headers([("Content-Type", JSON_TYPE)])
    return Response(status, headers, msgspec.json.encode(value))
