"""Build connectors to endpoints, and daemons that relay, in one process."""

import socket
import struct

import curio

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.http import sockets
from sycamoredale import ids
from sycamoredale.links import connector as connector_module
from sycamoredale.links import monitor
from sycamoredale.links import relay_client
from sycamoredale.links import relay_protocol
from sycamoredale.links import relay_service
from sycamoredale.membership import peer_service
from sycamoredale.membership import view

LOOPBACK = messages.Address("127.0.0.1", 0)


def members(daemon="own", zone="a"):
    """Return a view of the fleet with one daemon."""
    return view.MembershipView(
        view.Peer(
            ids.DaemonId(daemon),
            "127.0.0.1:1",
            ids.ZoneName(zone),
            view.Role.ROUTER,
            ids.Incarnation(1),
        )
    )


class Connector(connector_module.EndpointConnector):
    """Open no connection of its own while `cut` is set."""

    cut = False

    async def open_socket(
        self, address, timeout_seconds=connector_module.CONNECT_TIMEOUT_SECONDS
    ):
        """Return a socket, or fail as a cut link does."""
        if self.cut:
            self.monitor.record_failed()
            raise errors.ConnectionFailed(
                error_codes.CONNECTION_FAILED, f"the link to {address} is cut"
            )
        return await super().open_socket(address, timeout_seconds)


class HangingConnector(Connector):
    """Let open connections hang as well while `cut` is set."""

    async def open_socket(
        self, address, timeout_seconds=connector_module.CONNECT_TIMEOUT_SECONDS
    ):
        """Return a socket whose data passes only while the link works."""
        upstream = await super().open_socket(address, timeout_seconds)
        inner, outer = curio.socket.socketpair()
        await curio.spawn(self._copy, inner, upstream, daemon=True)
        await curio.spawn(self._copy, upstream, inner, daemon=True)
        return outer

    async def _copy(self, source, target):
        data = b"start"
        while data:
            try:
                data = await source.recv(65536)
                while self.cut:
                    await curio.sleep(0.01)
                await target.sendall(data)
            except OSError:
                break
        await target.close()


class BreakingConnector(Connector):
    """Break the open connections when the links are cut."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.opened = []

    async def open_socket(
        self, address, timeout_seconds=connector_module.CONNECT_TIMEOUT_SECONDS
    ):
        """Return a socket, and remember it."""
        sock = await super().open_socket(address, timeout_seconds)
        self.opened.append(sock)
        return sock

    def cut_links(self):
        """Shut all connections down and open no other."""
        self.cut = True
        for sock in filter(lambda sock: sock._socket, self.opened):
            sockets.shut_down(sock, socket.SHUT_RDWR)
        self.opened.clear()


def connector(endpoint_table, known=None, build=Connector):
    """Return the connector of a daemon, which has no peers by default."""
    return build(
        monitor.LinkMonitor(lambda: len(endpoint_table.by_id)),
        relay_client.RelayClient(known or members()),
        lambda: [e.instance.address for e in endpoint_table.by_id.values()],
        endpoint_table.waiting_addresses,
    )


class Daemon:
    """Run the links of one daemon, with a server for its peers."""

    def __init__(
        self, name, endpoints, is_stopping=lambda: False, connector=None
    ):
        self.name = ids.DaemonId(name)
        self.members = members(name)
        if connector is not None:
            self.members = connector.relays.members
        self.addresses = [e.address for e in endpoints]
        self.isolated_peers = set()
        self.connector = connector or Connector(
            monitor.LinkMonitor(lambda: len(self.addresses)),
            relay_client.RelayClient(
                self.members, self.isolated_peers.__contains__
            ),
            lambda: self.addresses,
        )
        self.relay_service = relay_service.RelayService(
            self.connector,
            self.members,
            lambda address: address in self.addresses,
            is_stopping,
        )
        peers = peer_service.PeerService(self.members, None)
        peers.register_upgrade(relay_protocol.PATH, self.relay_service.handle)
        self.server = server.Server(peers.handle)

    async def start(self):
        """Serve peers."""
        address = self.server.bind(LOOPBACK)
        self.members.update_own(address=str(address))
        await self.server.start()

    def know(self, other):
        """Add another daemon to the members."""
        self.members.merge(other.members.own, clock.monotonic())

    def isolate(self):
        """Conclude that this daemon is isolated."""
        now = clock.monotonic()
        links = self.connector.monitor
        for number in range(monitor.MIN_CONTRADICTED):
            address = messages.Address("10.0.0.1", number)
            links.record_contradiction(address, now)
        assert links.is_isolated

    def reconnect(self):
        """Conclude that this daemon is connected again."""
        now = clock.monotonic()
        for number in range(monitor.MIN_RESTORED):
            self.connector.monitor.record_opened(
                messages.Address("10.0.0.1", number), now
            )
        assert not self.connector.monitor.is_isolated

    async def lose_connections(self):
        """Shut all connections of peers down, as a daemon that is killed."""
        for connection in self.server._connections:
            connection.sock._socket.shutdown(socket.SHUT_RDWR)


def reset_on_close(sock):
    """Make the close of a socket reset its connection."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
