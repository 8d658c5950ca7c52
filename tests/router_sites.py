"""Start small sites of routers with one endpoint that counts requests."""

import contextlib
import dataclasses
import hashlib
import json
import pathlib
import socket
import threading
import time
import typing

from tests import processes

KEY: typing.Final = "site-key"
HEADERS: typing.Final = {"Authorization": f"Bearer {KEY}"}
BUFFER_BYTES: typing.Final = 65536


class TcpProxy:
    """Forward TCP connections to an address unless blocked."""

    def __init__(self, target: str) -> None:
        """Start to accept connections on a free port."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._connections: list[socket.socket] = []
        self._blocked = False
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def block(self) -> None:
        """Stop forwarding, but continue to accept and keep connections."""
        self._blocked = True

    def unblock(self) -> None:
        """Close all connections and forward new ones."""
        self._blocked = False
        for sock in self._connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._connections.clear()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            self._connections.append(client)
            if self._blocked:
                continue
            try:
                server = socket.create_connection(self._target)
            except OSError:
                client.close()
                continue
            self._connections.append(server)
            for pair in ((client, server), (server, client)):
                threading.Thread(
                    target=self._pump, args=pair, daemon=True
                ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(BUFFER_BYTES):
                if not self._blocked:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_RDWR)


@dataclasses.dataclass
class Site:
    """Run a platform, routers and a ledger in zone kochi.

    Only the last router reaches the platform through the proxy.
    """

    fleet: processes.Fleet
    platform: processes.Process
    ledger: processes.Process
    proxy: TcpProxy
    routers: list[processes.Process]
    file: pathlib.Path

    def apply(self, zone_state: str, *more: str) -> processes.Process:
        """Apply a configuration with a state of zone kochi."""
        self.file.write_text(configuration(zone_state))
        process = self.fleet.start(
            "sycamoredale",
            "apply",
            str(self.file),
            "--platform",
            self.platform.address,
            *more,
        )
        process.popen.wait(20)
        return process

    def executions(self) -> int:
        """Return how many calls the ledger has executed."""
        answer = processes.request(
            self.ledger.address, "GET", "/standin/executions"
        )
        return sum(answer.json().values())

    def faults(self, **faults: object) -> None:
        """Set the faults of the platform."""
        processes.request(
            self.platform.address, "PUT", "/standin/faults", faults
        )


def call(router: processes.Process) -> processes.Answer:
    """Send an idempotent request for the ledger to a router."""
    return processes.request(
        router.address, "POST", "/services/ledger/x", {}, HEADERS
    )


def health(router: processes.Process) -> typing.Any:
    """Return the health report of a router."""
    return processes.request(router.address, "GET", "/healthz").json()


def build(
    fleet: processes.Fleet, file: pathlib.Path, routers: int = 4
) -> Site:
    """Start a site and wait until every router serves requests."""
    platform = fleet.start_standin("platform")
    ledger = fleet.start_standin("ledger")
    proxy = TcpProxy(platform.address)
    site = Site(fleet, platform, ledger, proxy, [], file)
    _assign(platform, ledger)
    applied = site.apply("in")
    assert applied.popen.returncode == 0, applied.log_lines
    for number in range(routers):
        last = number == routers - 1
        site.routers.append(
            fleet.start_router(
                f"router-{number}",
                ("kochi", "thrissur")[number % 2],
                proxy.address if last else platform.address,
            )
        )
    for router in site.routers:
        processes.wait_for(lambda r=router: _is_ready(r, routers))
    # An endpoint is warm after some successful requests.  Unlike a cold
    # one, it needs no slot lease, which would expire during an outage.
    for _ in range(5):
        processes.wait_for(
            lambda: all([call(r).status == 200 for r in site.routers])
        )
        time.sleep(0.5)
    return site


def configuration(zone_state: str) -> str:
    """Return a configuration file with a state of zone kochi."""
    return f"""
services:
  - name: ledger
    kind: plain
    replicas: 1
    routes: [{{path: /x, methods: [POST], idempotent: true}}]
organisations:
  - name: concierge
    key_sha256: {hashlib.sha256(KEY.encode()).hexdigest()}
zones: [{{name: kochi, state: "{zone_state}"}}, {{name: thrissur}}]
"""


def _is_ready(router: processes.Process, daemons: int) -> bool:
    found = health(router)
    return bool(
        found["peers"] == daemons
        and found["endpoints"] == 1
        and found["generation"] >= 1
        and found["standing"] == "fresh"
    )


def _assign(platform: processes.Process, ledger: processes.Process) -> None:
    group = {
        "id": "g1",
        "service": "ledger",
        "version": "",
        "zone": "kochi",
        "epoch": 1,
        "state": "ready",
        "members": [{"instance": "i1", "address": ledger.address}],
    }
    body = {"domain": "kochi-1", "epoch": 1, "groups": [group]}
    answer = processes.request(
        platform.address,
        "PUT",
        "/v1/object/assignment/kochi-1",
        json.loads(json.dumps(body)),
        {"If-Version": "0"},
    )
    assert answer.status == 200
