"""Send requests on kept connections, and tell how each one ended."""

import asyncio
import contextlib
import dataclasses
import time
import typing
import uuid

from tests.soak import site as site_module

KEPT_BYTES: typing.Final = 65536
READ_BYTES: typing.Final = 65536
# After its deadline; a series of suspensions may make an answer late.
PATIENCE_SECONDS: typing.Final = 12.0
CONNECT_SECONDS: typing.Final = 3.0
EVENT_SECONDS: typing.Final = 0.5
# Of the time limit, for a caller who comes back.  A slow endpoint needs 2.3 s
# of these 3 s for a short stream, but more for a long one than would be left.
MIN_LEFT_SHARE: typing.Final = 0.6


@dataclasses.dataclass
class Exchange:
    """Record one request and its end, in wall time."""

    route: site_module.Route
    daemon: site_module.Daemon
    process: site_module.Incarnation
    is_kept: bool
    attempt: str = dataclasses.field(
        default_factory=lambda: uuid.uuid4().hex[:16]
    )
    # What its caller has left.
    timeout_ms: int = 0
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    got_bytes: bool = False
    is_complete: bool = False
    is_held: bool = False
    # Its caller closed the connection before the end.
    has_left: bool = False
    closes: bool = False
    body: bytes = b""
    reason: str = ""

    @property
    def deadline(self) -> float:
        """Return when the daemon has to have ended it."""
        return self.sent_at + self.timeout_ms / 1000

    def describe(self) -> str:
        """Return what a reader of the logs needs."""
        return (
            f"{self.attempt} {self.route.name} at {self.process.label} sent "
            f"{self.sent_at:.3f} took {self.ended_at - self.sent_at:.3f} "
            f"status {self.status} complete {self.is_complete} bytes "
            f"{len(self.body)} kept {self.is_kept} held {self.is_held} "
            f"{self.reason}"
        )


class Client:
    """Send requests of one route to one daemon, one after the other."""

    def __init__(
        self, daemon: site_module.Daemon, route: site_module.Route
    ) -> None:
        self._daemon = daemon
        self._route = route
        self._streams: typing.Any = None
        self._process = daemon.current
        self._is_kept = False

    async def call(
        self, leaves_after: float | None = None, spent_seconds: float = 0.0
    ) -> Exchange | None:
        """Send one request; return None unless it was sent completely."""
        if self._streams is None and not await self._connect():
            return None
        reader, writer = self._streams
        found = Exchange(
            self._route, self._daemon, self._process, self._is_kept
        )
        share = 1 - 1000 * spent_seconds / self._route.timeout_ms
        share = 1.0 if found.route.is_long else max(MIN_LEFT_SHARE, share)
        found.timeout_ms = int(share * self._route.timeout_ms)
        seconds = found.timeout_ms / 1000 + PATIENCE_SECONDS
        if leaves_after is not None:
            seconds = leaves_after
        try:
            found.sent_at = time.time()
            writer.write(_request(found))
            await writer.drain()
            await finished(_read_answer(reader, found), seconds)
        except TimeoutError:
            found.has_left = leaves_after is not None
            found.is_held = not found.has_left
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            found.reason = repr(error)
        if not found.is_complete or found.closes:
            self.close()
        found.ended_at = time.time()
        self._is_kept = True
        return found

    async def _connect(self) -> bool:
        host, port = self._daemon.front.split(":")
        self._process = self._daemon.current
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                self._streams = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        self._is_kept = False
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


def _request(found: Exchange) -> bytes:
    fields = {
        "Host": site_module.HOST_NAME,
        "Attempt-Id": found.attempt,
        "Request-Deadline": str(found.timeout_ms),
        "Authorization": f"Bearer {site_module.KEY}",
        "Content-Length": "6",
        "Model": site_module.MODEL,
    }
    lines = [f"POST {found.route.path}x HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + b"prompt"


async def _read_answer(reader: asyncio.StreamReader, found: Exchange) -> None:
    line = await reader.readline()
    found.got_bytes = bool(line)
    if not line.endswith(b"\n"):
        raise ValueError(f"the connection ended, {line!r}")
    found.status = int(line.split()[1])
    fields = {}
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    found.closes = fields.get("connection") == "close"
    if "content-length" in fields:
        found.body = await reader.readexactly(int(fields["content-length"]))
        found.is_complete = True
        return
    tail = b"\r\n"
    while not tail.endswith(b"\r\n0\r\n\r\n"):
        data = await reader.read(READ_BYTES)
        if not data:
            raise ValueError("the answer broke off")
        tail = (tail + data)[-16:]
        if len(found.body) < KEPT_BYTES:
            found.body += data
        # A reader with data does not wait for any.
        await asyncio.sleep(0)
    found.is_complete = True


async def finished(
    work: typing.Coroutine[typing.Any, typing.Any, typing.Any], seconds: float
) -> typing.Any:
    """Return the result of work, or raise TimeoutError.

    A soak that was suspended itself first reads what has arrived meanwhile.
    """
    task = asyncio.create_task(work)
    try:
        for share in (0.5, 0.5):
            await asyncio.wait({task}, timeout=share * seconds)
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        task.cancel()


async def probe(streams: typing.Any, path: str = "/v1/ready") -> int:
    """Ask whether a daemon or an endpoint is ready."""
    reader, writer = streams
    writer.write(f"GET {path} HTTP/1.1\r\nHost: ready\r\n\r\n".encode())
    status = int((await reader.readline()).split()[1])
    while (await reader.readline()).strip():
        pass
    return status


async def metrics(address: str) -> str:
    """Return the metrics page of a daemon."""
    async with asyncio.timeout(CONNECT_SECONDS), connected(address) as pair:
        reader, writer = pair
        writer.write(
            b"GET /metrics HTTP/1.1\r\nHost: soak\r\n"
            b"Connection: close\r\n\r\n"
        )
        return (await reader.read(-1)).decode("latin-1")


@contextlib.asynccontextmanager
async def connected(address: str) -> typing.AsyncIterator[typing.Any]:
    """Hold a connection."""
    host, port = address.split(":")
    streams = await asyncio.open_connection(host, int(port))
    try:
        yield streams
    finally:
        streams[1].transport.abort()
