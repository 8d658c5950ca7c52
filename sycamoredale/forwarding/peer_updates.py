"""Exchange the load and the last progress of endpoints among daemons.

Each daemon sees only its own requests.  The counts of its peers
show the load of an endpoint, and whether an endpoint that does not answer
this daemon makes progress for others.  Updates are sent as datagrams without
acknowledgement; the next update replaces a lost one.
"""

import collections.abc
import dataclasses
import typing
from typing import Final

import curio
import curio.socket
import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale.forwarding import announced_limit
from sycamoredale.forwarding import departures as departures_module
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import report_updates
from sycamoredale.forwarding import send_log
from sycamoredale.forwarding import stall_detection
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale.requests import part_updates
from sycamoredale import supervision

# Less than half of the longest interval between two events of a healthy
# engine.
INTERVAL_SECONDS: Final = 0.1
# Limit for one daemon; with more peers the interval is longer.
MAX_DATAGRAMS_PER_SECOND: Final = 160.0
# An update expires after this many intervals: three lost datagrams in a row
# are rare.
UPDATE_TTL_INTERVALS: Final = 4.0
MAX_DATAGRAM_BYTES: Final = 16384
LOG: Final = logs.get("peer_updates")


class EndpointUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report the requests of one daemon on an endpoint, and its last progress.

    `progress_ms_ago` is -1 if the daemon has seen no progress.  `suspect_ms`
    is how much longer the daemon excludes the endpoint.  `deferred` counts
    the requests that wait there with a low queue priority.  `limit` is the
    rate that the endpoint named `limit_ms_ago` in an answer to the daemon,
    -1 if it named none; without any news both are -1.
    """

    endpoint: ids.InstanceId
    in_flight: int
    progress_ms_ago: int
    suspect_ms: int
    deferred: int = 0
    limit: float = -1.0
    limit_ms_ago: int = -1


class PeerUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Carry the update of one daemon to its peers.

    `lease` is the version of the lease on the groups that the daemon wrote,
    or ABSENT if it does not hold the lease.  The holder also sends `kinds`,
    the changes of the kinds of objects that all daemons watch.  `parts` has
    the evidence on parts of prompts that ran on lost endpoints.  An `isolated`
    daemon opens no connections to endpoints.  `departures` are of instances
    that have said to the daemon that they leave.
    """

    daemon: ids.DaemonId
    endpoints: list[EndpointUpdate]
    reports: list[report_updates.ReportUpdate] = []
    lease: ids.ObjectVersion = objects.ABSENT_VERSION
    kinds: list[kind_updates.KindUpdate] = []
    parts: list[part_updates.PartUpdate] = []
    isolated: bool = False
    departures: list[departures_module.DepartureUpdate] = []


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedUpdate:
    update_by_id: dict[ids.InstanceId, EndpointUpdate]
    expires_at: clock.MonotonicTime
    isolated: bool


GetPeers = collections.abc.Callable[
    [], collections.abc.Sequence[messages.Address]
]

GetLease = collections.abc.Callable[[], ids.ObjectVersion]
OnLease = collections.abc.Callable[
    [ids.ObjectVersion, clock.MonotonicTime], None
]

GetKindUpdates = collections.abc.Callable[
    [clock.MonotonicTime], list[kind_updates.KindUpdate]
]
OnKindUpdate = collections.abc.Callable[
    [kind_updates.KindUpdate, clock.MonotonicTime], None
]

GetPartUpdates = collections.abc.Callable[
    [clock.MonotonicTime], list[part_updates.PartUpdate]
]
OnPartUpdates = collections.abc.Callable[
    [list[part_updates.PartUpdate], clock.MonotonicTime], None
]

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = decoding.MessagePackDecoder(PeerUpdate)


@dataclasses.dataclass
class PeerUpdateExchange:
    """Send updates to the peers and apply theirs.

    `get_lease` returns the version of the own lease, and `on_lease` receives
    that of a peer.
    """

    daemon: ids.DaemonId
    endpoint_table: endpoints.EndpointTable
    get_peers: GetPeers
    get_lease: GetLease = lambda: objects.ABSENT_VERSION
    on_lease: OnLease = lambda version, now: None
    get_kind_updates: GetKindUpdates = lambda now: []
    on_kind_update: OnKindUpdate = lambda update, now: None
    get_part_updates: GetPartUpdates = lambda now: []
    on_part_updates: OnPartUpdates = lambda updates, now: None
    is_isolated: collections.abc.Callable[[], bool] = lambda: False
    _received_by_daemon: dict[ids.DaemonId, _ReceivedUpdate] = (
        dataclasses.field(default_factory=dict)
    )
    outbox: report_updates.Outbox = dataclasses.field(
        default_factory=report_updates.Outbox
    )
    _interval_seconds: float = INTERVAL_SECONDS
    _had_content: bool = False
    _lease_sent: ids.ObjectVersion = objects.ABSENT_VERSION

    async def run(self, address: messages.Address) -> None:
        """Exchange updates from a local address until cancelled."""
        sock = curio.socket.socket(
            curio.socket.AF_INET, curio.socket.SOCK_DGRAM
        )
        async with sock:
            sock.bind((address.host, address.port))
            receiving = await supervision.spawn(
                "peer_update_reader", self._receive, sock
            )
            try:
                await self._send_periodically(sock)
            finally:
                await receiving.cancel()

    async def _send_periodically(self, sock: typing.Any) -> None:
        while True:
            peers = self.get_peers()
            self._interval_seconds = interval_seconds(len(peers))
            now = clock.monotonic()
            self.apply_peer_loads(now)
            self._send(sock, peers, self.build_update(now))
            await curio.sleep(self._interval_seconds)

    def receive(self, update: PeerUpdate, now: clock.MonotonicTime) -> None:
        """Apply the update of a peer; raise ValueError if it is malformed."""
        seconds = UPDATE_TTL_INTERVALS * self._interval_seconds
        self._received_by_daemon[update.daemon] = _ReceivedUpdate(
            {item.endpoint: item for item in update.endpoints},
            clock.MonotonicTime(now + seconds),
            update.isolated,
        )
        if update.lease != objects.ABSENT_VERSION:
            self.on_lease(update.lease, now)
        for kind in update.kinds:
            self.on_kind_update(kind, now)
        self.endpoint_table.instances.receive_departures(update.departures)
        if update.parts:
            self.on_part_updates(update.parts, now)
        for item in update.endpoints:
            endpoint = self.endpoint_table.by_id.get(item.endpoint)
            if endpoint is not None:
                _apply_endpoint_update(endpoint, item, now)
        for report_update in update.reports:
            report = report_updates.decode(report_update)
            if self.endpoint_table.instances.apply_report(
                report_update.instance, report
            ):
                LOG.info(
                    "head_changed",
                    instance=report_update.instance,
                    group=report_update.group,
                    state=report_update.state,
                    orders_taken=report_update.orders_taken,
                    by=update.daemon,
                )

    def apply_peer_loads(self, now: clock.MonotonicTime) -> None:
        """Set the peer load of each endpoint to the sum over all peers."""
        fresh = {
            daemon: received
            for daemon, received in self._received_by_daemon.items()
            if now < received.expires_at
        }
        self._received_by_daemon = fresh
        if not fresh:
            return
        self.endpoint_table.update_demand(now)
        for endpoint in self.endpoint_table.by_id.values():
            items = [
                received.update_by_id[endpoint.id]
                for received in fresh.values()
                if endpoint.id in received.update_by_id
            ]
            endpoint.set_peer_load(
                float(sum(item.in_flight for item in items)),
                now,
                float(sum(item.deferred for item in items)),
            )

    def build_update(self, now: clock.MonotonicTime) -> PeerUpdate:
        """Return the update of this daemon, and count its parts as sent."""
        return PeerUpdate(
            self.daemon,
            [
                EndpointUpdate(
                    e.id,
                    e.in_flight,
                    _progress_ms_ago(e, now),
                    _suspect_ms(e, now),
                    e.deferred,
                    *_announcement_fields(e, now),
                )
                for e in self.endpoint_table.by_id.values()
                if e.in_flight
                or e.is_suspect(now)
                or e.limit.has_own_news(now)
            ],
            self.outbox.take(),
            self.get_lease(),
            self.get_kind_updates(now),
            self.get_part_updates(now),
            self.is_isolated(),
            self.endpoint_table.instances.take_departure_updates(now),
        )

    def is_peer_isolated(
        self, daemon: ids.DaemonId, now: clock.MonotonicTime
    ) -> bool:
        """Return whether a peer said lately that it is isolated."""
        received = self._received_by_daemon.get(daemon)
        return (
            received is not None
            and received.isolated
            and now < received.expires_at
        )

    def _send(
        self,
        sock: typing.Any,
        peers: collections.abc.Sequence[messages.Address],
        update: PeerUpdate,
    ) -> None:
        """Send an update; of several empty ones in a row only the first."""
        has_content = bool(
            update.endpoints
            or update.reports
            or update.kinds
            or update.parts
            or update.isolated
            or update.departures
        )
        lease_changed = update.lease != self._lease_sent
        if not (has_content or self._had_content or lease_changed):
            return
        self._had_content = has_content
        self._lease_sent = update.lease
        data = _ENCODER.encode(update)
        for peer in peers:
            try:
                sock._socket.sendto(data, (peer.host, peer.port))
            except OSError as error:
                LOG.debug("update_not_sent", peer=str(peer), reason=str(error))

    async def _receive(self, sock: typing.Any) -> None:
        while True:
            data, sender = await sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                self.receive(_DECODER.decode(data), clock.monotonic())
            except ValueError as error:  # Includes msgspec.MsgspecError.
                LOG.warning(
                    "update_malformed", sender=sender, reason=str(error)
                )


def interval_seconds(peers: int) -> float:
    """Return the seconds between two updates to a number of peers."""
    return max(INTERVAL_SECONDS, peers / MAX_DATAGRAMS_PER_SECOND)


def _apply_endpoint_update(
    endpoint: endpoints.Endpoint,
    item: EndpointUpdate,
    now: clock.MonotonicTime,
) -> None:
    _apply_announcement(endpoint, item, now)
    if item.progress_ms_ago >= 0:
        progress_at = now - item.progress_ms_ago / 1000
        if progress_at > endpoint.last_progress_at:
            endpoint.record_progress(clock.MonotonicTime(progress_at))
    # A single peer may have lost its connection to an endpoint that works.
    made_progress = (
        now - endpoint.last_progress_at < stall_detection.STALL_TIMEOUT_SECONDS
    )
    if item.suspect_ms > 0 and not made_progress:
        endpoint.apply_peer_suspicion(now, item.suspect_ms / 1000)


def _apply_announcement(
    endpoint: endpoints.Endpoint,
    item: EndpointUpdate,
    now: clock.MonotonicTime,
) -> None:
    if item.limit_ms_ago < 0:
        return
    announcement = announced_limit.Announcement(
        item.limit if item.limit >= 0 else None,
        clock.MonotonicTime(now - item.limit_ms_ago / 1000),
    )
    if endpoint.limit.record(announcement):
        send_log.log_changed_limit(endpoint, "peer")


def _announcement_fields(
    endpoint: endpoints.Endpoint, now: clock.MonotonicTime
) -> tuple[float, int]:
    own = endpoint.limit.own
    if not endpoint.limit.has_own_news(now):
        return -1.0, -1
    limit = own.requests_per_second
    return -1.0 if limit is None else limit, int(1000 * (now - own.at))


def _suspect_ms(endpoint: endpoints.Endpoint, now: clock.MonotonicTime) -> int:
    return max(0, int(1000 * (endpoint.suspect_until - now)))


def _progress_ms_ago(
    endpoint: endpoints.Endpoint, now: clock.MonotonicTime
) -> int:
    if not endpoint.last_progress_at:
        return -1
    return int(1000 * (now - endpoint.last_progress_at))
