"""Exchange the load and the last progress of endpoints among daemons.

Each daemon sees only its own requests.  With the counts of its peers it
knows the load of an endpoint, and whether an endpoint that does not answer
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
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import report_updates
from sycamoredale.forwarding import stall_detection
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

# Half of the time that a healthy engine needs between two events at most.
INTERVAL_SECONDS: Final = 0.1
# PeerUpdate sent a second by one daemon at most; more peers mean rarer news.
MAX_DATAGRAMS_PER_SECOND: Final = 160.0
# Three lost datagrams in a row are rare; older news count for nothing.
UPDATE_TTL_INTERVALS: Final = 4.0
MAX_DATAGRAM_BYTES: Final = 8192
LOG: Final = logs.get("load_news")


class EndpointUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Tell what one daemon has on an endpoint and when it last heard it.

    `suspect_ms` is how much longer the daemon sends nothing there;
    `yielding` counts the requests that wait there and give way.
    """

    endpoint: ids.InstanceId
    in_flight: int
    progress_ms_ago: int
    suspect_ms: int
    deferred: int = 0


class PeerUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Hold the news of one daemon.

    `lease` is the version of the lease on the groups that the daemon wrote,
    or ABSENT if it does not hold it; its holder also tells what it sees of
    the kinds of objects that all follow.
    """

    daemon: ids.DaemonId
    endpoints: list[EndpointUpdate]
    reports: list[report_updates.ReportUpdate] = []
    lease: ids.ObjectVersion = objects.ABSENT
    kinds: list[kind_updates.KindUpdate] = []


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedUpdate:
    update_by_id: dict[ids.InstanceId, EndpointUpdate]
    expires_at: clock.MonotonicTime


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

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(PeerUpdate)


@dataclasses.dataclass
class PeerUpdateExchange:
    """Send and hear the news of endpoints."""

    daemon: ids.DaemonId
    endpoint_table: endpoints.EndpointTable
    get_peers: GetPeers
    get_lease: GetLease = lambda: objects.ABSENT
    on_lease: OnLease = lambda version, now: None
    get_kind_updates: GetKindUpdates = lambda now: []
    on_kind_update: OnKindUpdate = lambda news, now: None
    _received_by_daemon: dict[ids.DaemonId, _ReceivedUpdate] = (
        dataclasses.field(default_factory=dict)
    )
    outbox: report_updates.Outbox = dataclasses.field(
        default_factory=report_updates.Outbox
    )
    _interval_seconds: float = INTERVAL_SECONDS
    _has_sent: bool = False
    _lease_sent: ids.ObjectVersion = objects.ABSENT

    async def run(self, address: messages.Address) -> None:
        """Exchange news for ever from an address."""
        sock = curio.socket.socket(
            curio.socket.AF_INET, curio.socket.SOCK_DGRAM
        )
        sock.bind((address.host, address.port))
        await curio.spawn(self._receive, sock, daemon=True)
        while True:
            peers = self.get_peers()
            self._interval_seconds = interval_seconds(len(peers))
            now = clock.monotonic()
            self.apply_peer_loads(now)
            self._send(sock, peers, self.build_update(now))
            await curio.sleep(self._interval_seconds)

    def receive(self, news: PeerUpdate, now: clock.MonotonicTime) -> None:
        """Take the news of a peer."""
        seconds = UPDATE_TTL_INTERVALS * self._interval_seconds
        self._received_by_daemon[news.daemon] = _ReceivedUpdate(
            {item.endpoint: item for item in news.endpoints},
            clock.MonotonicTime(now + seconds),
        )
        if news.lease != objects.ABSENT:
            self.on_lease(news.lease, now)
        for kind in news.kinds:
            self.on_kind_update(kind, now)
        for item in news.endpoints:
            endpoint = self.endpoint_table.by_id.get(item.endpoint)
            if endpoint is not None:
                _apply_endpoint_update(endpoint, item, now)
        for told in news.reports:
            report = report_updates.decode(told)
            if self.endpoint_table.instances.apply_report(
                told.instance, report
            ):
                LOG.info(
                    "head_told",
                    instance=told.instance,
                    group=told.group,
                    state=told.state,
                    orders_taken=told.orders_taken,
                    by=news.daemon,
                )

    def apply_peer_loads(self, now: clock.MonotonicTime) -> None:
        """Add up what all peers have on each endpoint."""
        fresh = {
            daemon: heard
            for daemon, heard in self._received_by_daemon.items()
            if now < heard.expires_at
        }
        self._received_by_daemon = fresh
        if not fresh:
            return
        self.endpoint_table.update_demand(now)
        for endpoint in self.endpoint_table.by_id.values():
            found = [
                heard.update_by_id[endpoint.id]
                for heard in fresh.values()
                if endpoint.id in heard.update_by_id
            ]
            endpoint.set_peer_load(
                float(sum(item.in_flight for item in found)),
                now,
                float(sum(item.deferred for item in found)),
            )

    def build_update(self, now: clock.MonotonicTime) -> PeerUpdate:
        """Return the news of this daemon and take out what they tell."""
        return PeerUpdate(
            self.daemon,
            [
                EndpointUpdate(
                    e.id,
                    e.in_flight,
                    _progress_ms_ago(e, now),
                    _suspect_ms(e, now),
                    e.deferred,
                )
                for e in self.endpoint_table.by_id.values()
                if e.in_flight or e.is_suspect(now)
            ],
            self.outbox.take(),
            self.get_lease(),
            self.get_kind_updates(now),
        )

    def _send(
        self,
        sock: typing.Any,
        peers: collections.abc.Sequence[messages.Address],
        news: PeerUpdate,
    ) -> None:
        """Send news, and that there are none any more only once."""
        has_news = bool(news.endpoints or news.reports or news.kinds)
        lease_changed = news.lease != self._lease_sent
        if not (has_news or self._has_sent or lease_changed):
            return
        self._has_sent = has_news
        self._lease_sent = news.lease
        data = _ENCODER.encode(news)
        for peer in peers:
            try:
                sock._socket.sendto(data, (peer.host, peer.port))
            except OSError as error:
                LOG.debug("news_not_sent", peer=str(peer), reason=str(error))

    async def _receive(self, sock: typing.Any) -> None:
        while True:
            data, sender = await sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                self.receive(_DECODER.decode(data), clock.monotonic())
            except ValueError as error:  # That of msgspec is one, too.
                LOG.warning("news_malformed", sender=sender, reason=str(error))


def interval_seconds(peers: int) -> float:
    """Return the time between two news to a number of peers."""
    return max(INTERVAL_SECONDS, peers / MAX_DATAGRAMS_PER_SECOND)


def _apply_endpoint_update(
    endpoint: endpoints.Endpoint,
    item: EndpointUpdate,
    now: clock.MonotonicTime,
) -> None:
    if item.progress_ms_ago >= 0:
        heard_at = now - item.progress_ms_ago / 1000
        if heard_at > endpoint.last_progress_at:
            endpoint.record_progress(clock.MonotonicTime(heard_at))
    # A peer alone may have lost the way to an endpoint that others hear.
    heard_lately = (
        now - endpoint.last_progress_at < stall_detection.STALL_TIMEOUT_SECONDS
    )
    if item.suspect_ms > 0 and not heard_lately:
        endpoint.apply_peer_suspicion(now, item.suspect_ms / 1000)


def _suspect_ms(endpoint: endpoints.Endpoint, now: clock.MonotonicTime) -> int:
    return max(0, int(1000 * (endpoint.suspect_until - now)))


def _progress_ms_ago(
    endpoint: endpoints.Endpoint, now: clock.MonotonicTime
) -> int:
    if not endpoint.last_progress_at:
        return -1
    return int(1000 * (now - endpoint.last_progress_at))
