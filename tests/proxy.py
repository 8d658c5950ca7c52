"""Forward TCP connections and inject faults, controlled over HTTP.

One process serves many links.  A link listens on its own port, which
identifies it, and forwards to one upstream address.  Faults apply to a link
until they are replaced; actions are carried out once:

    POST /links            {"upstream": "127.0.0.1:8080"} -> {"address": ...}
    PUT  /links/PORT       Faults
    POST /links/PORT/cut       close all open connections
    POST /links/PORT/silence   block all data on open connections for good
    GET  /links/PORT       counts of connections and cut answers
    PUT  /sources          {"router-1": PID}

A source is a process that connects.  The proxy identifies it by the owner of
the socket, so that a pair of processes can be partitioned while others still
connect.
"""

import collections.abc
import dataclasses
import pathlib
import random
import socket
import sys
import typing
from typing import Final

import click
import curio
import curio.network
import msgspec

from sycamoredale.http import messages
from sycamoredale.http import server

CHUNK_BYTES: Final = 65536
UNKNOWN_SOURCE: Final = "?"
POLL_INTERVAL_SECONDS: Final = 0.01


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configure the faults of a link.

    `delay` applies to each chunk in either direction, in seconds.  `blocked`
    blocks all data until it is reset; `blocked_sources` does so for the
    connections of some sources.  `drop` is the share of new connections on
    which no data passes.  `cut_answers` is the number of requests that are
    forwarded, but whose connection is closed in place of the answer; it
    counts requests that contain `cut_answers_to`.
    """

    delay: float = 0.0
    blocked: bool = False
    blocked_sources: list[str] = []
    refuse: bool = False
    drop: float = 0.0
    cut_answers: int = 0
    cut_answers_to: str = ""
    cut_after_bytes: int | None = None


class Counts(msgspec.Struct):
    """Count the connections of a link and the faults injected."""

    accepted: int = 0
    open: int = 0
    cut_answers: int = 0
    silenced: int = 0


@dataclasses.dataclass(eq=False)
class Connection:
    """Pair the sockets of a forwarded connection with its state."""

    client: typing.Any
    upstream: typing.Any
    port: int
    source: str = ""
    silent: bool = False
    is_cut: bool = False
    last_request: bytes = b""
    answer_bytes: int = 0

    async def close(self) -> None:
        """Shut the connection down on both sides."""
        self.is_cut = True
        for sock in (self.client, self.upstream):
            try:
                await sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # This side is closed already.


class Link:
    """Forward connections to one upstream address."""

    def __init__(
        self, upstream: messages.Address, pids: dict[str, int], seed: int
    ) -> None:
        """Listen on a free port."""
        self.faults = Faults()
        self.counts = Counts()
        self.connections: set[Connection] = set()
        self._upstream = upstream
        self._pids = pids
        self._random = random.Random(seed)
        self._sock = curio.network.tcp_server_socket("127.0.0.1", 0)
        self.port: Final[int] = self._sock.getsockname()[1]

    async def run(self) -> None:
        """Accept connections for ever."""
        while True:
            sock, peer = await self._sock.accept()
            self.counts.accepted += 1
            if self.faults.refuse:
                await sock.close()
                continue
            await curio.spawn(self._serve, sock, peer[1], daemon=True)

    async def cut(self) -> None:
        """Close all open connections."""
        for connection in list(self.connections):
            await connection.close()

    def silence(self) -> None:
        """Block all data on the open connections for good."""
        for connection in self.connections:
            connection.silent = True
        self.counts.silenced += len(self.connections)

    async def _serve(self, client: typing.Any, port: int) -> None:
        is_dropped = self._random.random() < self.faults.drop
        async with client:
            try:
                upstream = await curio.open_connection(
                    self._upstream.host, self._upstream.port
                )
            except OSError:
                return
            async with upstream:
                connection = Connection(
                    client, upstream, port, silent=is_dropped
                )
                self.connections.add(connection)
                self.counts.open += 1
                try:
                    await self._forward_both_ways(connection)
                finally:
                    self.counts.open -= 1
                    self.connections.discard(connection)

    async def _forward_both_ways(self, connection: Connection) -> None:
        client, upstream = connection.client, connection.upstream
        for sock in (client, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with curio.TaskGroup() as group:
            await group.spawn(
                self._forward,
                connection,
                client,
                upstream,
                self._allows_request,
            )
            await group.spawn(
                self._forward,
                connection,
                upstream,
                client,
                self._allows_answer,
            )

    async def _forward(
        self,
        connection: Connection,
        reader: typing.Any,
        writer: typing.Any,
        is_allowed: collections.abc.Callable[[Connection, bytes], bool],
    ) -> None:
        try:
            while chunk := await reader.recv(CHUNK_BYTES):
                await self._delay_or_block(connection)
                if not is_allowed(connection, chunk):
                    await connection.close()
                    return
                await writer.sendall(chunk)
            await self._delay_or_block(connection)
            await writer.shutdown(socket.SHUT_WR)
        except OSError:
            await self._delay_or_block(connection)
            await connection.close()

    async def _delay_or_block(self, connection: Connection) -> None:
        await curio.sleep(self.faults.delay)
        while connection.silent or self._is_blocked(connection):
            if connection.is_cut:
                return
            await curio.sleep(POLL_INTERVAL_SECONDS)

    def _is_blocked(self, connection: Connection) -> bool:
        faults = self.faults
        if faults.blocked_sources and not connection.source:
            owner = find_source(connection.port, self.port, self._pids)
            connection.source = owner or UNKNOWN_SOURCE
        return faults.blocked or connection.source in faults.blocked_sources

    def _allows_request(self, connection: Connection, chunk: bytes) -> bool:
        connection.last_request = chunk
        return not connection.is_cut

    def _allows_answer(self, connection: Connection, chunk: bytes) -> bool:
        faults = self.faults
        connection.answer_bytes += len(chunk)
        limit = faults.cut_after_bytes
        if limit is not None and connection.answer_bytes > limit:
            return False
        pattern = faults.cut_answers_to.encode()
        if faults.cut_answers and pattern in connection.last_request:
            remaining = faults.cut_answers - 1
            self.faults = msgspec.structs.replace(
                faults, cut_answers=remaining
            )
            self.counts.cut_answers += 1
            return False
        return not connection.is_cut


@dataclasses.dataclass
class Proxy:
    """Manage the links and serve the control requests."""

    seed: int = 0
    link_by_port: dict[int, Link] = dataclasses.field(default_factory=dict)
    pid_by_source: dict[str, int] = dataclasses.field(default_factory=dict)

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one control request."""
        request = exchange.request
        parts = [part for part in request.path.split("/") if part]
        if (request.method, parts) == ("POST", ["links"]):
            answer: object = await self._open_link(request)
        elif parts[0] == "sources":
            self.pid_by_source.update(msgspec.json.decode(request.body))
            answer = {}
        else:
            link = self.link_by_port[int(parts[1])]
            answer = await _control(link, request, parts[2:])
        await exchange.respond(messages.json_response(200, answer))

    async def _open_link(self, request: messages.Request) -> dict[str, str]:
        options = msgspec.json.decode(request.body, type=dict[str, str])
        upstream = messages.parse_address(options["upstream"])
        seed = self.seed + len(self.link_by_port)
        link = Link(upstream, self.pid_by_source, seed)
        self.link_by_port[link.port] = link
        await curio.spawn(link.run, daemon=True)
        return {"address": f"127.0.0.1:{link.port}"}


async def _control(
    link: Link, request: messages.Request, action: list[str]
) -> Counts:
    if action == ["cut"]:
        await link.cut()
    elif action == ["silence"]:
        link.silence()
    elif request.method == "PUT":
        link.faults = msgspec.json.decode(request.body, type=Faults)
    return link.counts


def find_source(
    port: int, link_port: int, pid_by_source: dict[str, int]
) -> str:
    """Return the source whose socket connects a port to a link, or ''."""
    if not pid_by_source:
        return ""
    inode = ""
    port_suffixes = (f":{port:04X}", f":{link_port:04X}")
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(port_suffixes[0]) and fields[2].endswith(
            port_suffixes[1]
        ):
            inode = f"socket:[{fields[9]}]"
            break
    for source, pid in pid_by_source.items():
        if inode and inode in _open_files(pid):
            return source
    return ""


def _open_files(pid: int) -> collections.abc.Iterator[str]:
    directory = pathlib.Path(f"/proc/{pid}/fd")
    try:
        for entry in directory.iterdir():
            yield str(entry.readlink())
    except OSError:
        return  # The process has ended or closed the file.


@click.command()
@click.option("--seed", default=0)
def main(seed: int) -> None:
    """Run a proxy and print the address of its control interface."""
    curio.run(_run, seed)


async def _run(seed: int) -> None:
    http_server = server.Server(Proxy(seed).handle)
    bound = http_server.bind(messages.Address("127.0.0.1", 0))
    await http_server.start()
    sys.stdout.write(f"{bound}\n")
    sys.stdout.flush()
    await curio.Event().wait()


if __name__ == "__main__":
    main()
