"""A small HTTP/1.1 server and client on asyncio, for stand-ins only."""

import asyncio
import contextlib
import dataclasses
import json

REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclasses.dataclass
class Request:
    """One request, with header names in lower case."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes

    def json(self):
        """Return the decoded body; raise ValueError if it is no JSON."""
        return json.loads(self.body)


@dataclasses.dataclass
class Answer:
    """One answer; `events` is an iterator of chunks of a streamed body."""

    status: int
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    events: object = None


def json_answer(status, value):
    """Return an answer with a JSON body."""
    return Answer(
        status,
        {"Content-Type": "application/json"},
        json.dumps(value).encode(),
    )


async def _read_request(reader):
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        field = (await reader.readline()).decode("latin-1")
        if field in ("\r\n", "\n", ""):
            break
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    path, _, text = target.partition("?")
    query = dict(pair.partition("=")[::2] for pair in text.split("&") if pair)
    return Request(method, path, query, headers, body)


class Server:
    """Serve a handler on one address; `abort` resets all connections.

    `all` has each server of this process.
    """

    all = []

    def __init__(self, handle):
        """Use a coroutine function that turns a Request into an Answer."""
        self.all.append(self)
        self._handle = handle
        self._server = None
        self._writers = set()
        self._tasks = set()
        self.address = ""

    async def start(self, host, port=0):
        """Listen; port 0 selects a free one."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def stop_listening(self):
        """Accept no new connection."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def abort(self):
        """Reset all connections and end what runs on them."""
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    def crash(self):
        """Do what the end of the process would do to its sockets."""
        self.stop_listening()
        self.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while request := await _read_request(reader):
                await self._answer(request, reader, writer)
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _answer(self, request, reader, writer):
        answer = await self._handle(request)
        reason = REASONS.get(answer.status, "Status")
        lines = [f"HTTP/1.1 {answer.status} {reason}"]
        lines += [f"{name}: {value}" for name, value in answer.headers.items()]
        if answer.events is None:
            lines.append(f"Content-Length: {len(answer.body)}")
        else:
            lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
        if answer.events is None:
            writer.write(answer.body)
            await writer.drain()
            return
        async for chunk in answer.events:
            writer.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@dataclasses.dataclass
class Reply:
    """What a client got; `status` is 0 if the connection gave no answer."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def call(address, method, target, headers, body=b"", seconds=10.0):
    """Send one request on a new connection and return the Reply."""
    host, _, port = address.rpartition(":")
    reply = Reply()
    writer = None
    with contextlib.suppress(
        OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError
    ):
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode("latin-1") + body)
            await writer.drain()
            await _read_reply(reader, reply)
    if writer is not None:
        writer.close()
    return reply


async def _read_reply(reader, reply):
    line = (await reader.readline()).split()
    if len(line) < 2:
        return
    reply.status = int(line[1])
    while True:
        field = (await reader.readline()).decode("latin-1")
        if field in ("\r\n", ""):
            break
        name, _, value = field.partition(":")
        reply.headers[name.strip().lower()] = value.strip()
    if reply.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(await reader.readline(), 16)
            reply.body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                reply.complete = True
                return
    length = int(reply.headers.get("content-length", "0"))
    reply.body = await reader.readexactly(length)
    reply.complete = True
