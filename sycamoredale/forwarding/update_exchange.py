"""Exchange updates with peers, directly or through hubs."""

import collections.abc
import dataclasses
import math
import typing
from typing import Final

import curio
import curio.socket
import msgspec

from sycamoredale import clock
from sycamoredale.forwarding import endpoint_paces
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import hub_selection
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import peer_updates
from sycamoredale.forwarding import report_updates
from sycamoredale.forwarding import store_contact
from sycamoredale.forwarding import update_gathering
from sycamoredale.http import messages
from sycamoredale.http import sockets
from sycamoredale import ids
from sycamoredale import loop_delays
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale.requests import part_updates
from sycamoredale.scheduling import pace
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
# Between two updates to the hubs, and two sums of a hub.
HUB_INTERVAL_SECONDS: Final = 0.2
# To a hub, to another hub and to a daemon there; each waits half an interval.
HUB_DELAY_INTERVALS: Final = 2.0
# Without content; a hub forgets a daemon that asks it no more.
ASK_SECONDS: Final = 0.6
HUB_UPDATE_TTL_SECONDS: Final = 1.5
LOG: Final = logs.get("peer_updates")

PeerUpdate = peer_updates.PeerUpdate
Targets = collections.abc.Iterable[messages.Address]
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


@dataclasses.dataclass
class PeerUpdateExchange:
    """Send updates to the peers and apply theirs.

    `get_lease` returns the version of the own lease, and `on_lease` receives
    that of a peer.
    """

    daemon: ids.DaemonId
    endpoint_table: endpoints.EndpointTable
    hubs: hub_selection.HubSelector
    get_lease: GetLease = lambda: objects.ABSENT_VERSION
    on_lease: OnLease = lambda version, now: None
    get_kind_updates: GetKindUpdates = lambda now: []
    on_kind_update: OnKindUpdate = lambda update, now: None
    get_part_updates: GetPartUpdates = lambda now: []
    on_part_updates: OnPartUpdates = lambda updates, now: None
    is_isolated: collections.abc.Callable[[], bool] = lambda: False
    contact: store_contact.StoreContact = dataclasses.field(
        default_factory=store_contact.StoreContact
    )
    outbox: report_updates.Outbox = dataclasses.field(
        default_factory=report_updates.Outbox
    )
    delays: loop_delays.LoopDelays = dataclasses.field(
        default_factory=loop_delays.LoopDelays
    )
    _had_content: bool = False
    _lease_sent: ids.ObjectVersion = objects.ABSENT_VERSION
    _sent_at: clock.MonotonicTime = hub_selection.NEVER
    _sent_directly_at: clock.MonotonicTime = hub_selection.NEVER
    _sent_by_id: dict[ids.InstanceId, peer_updates.EndpointUpdate] = (
        dataclasses.field(default_factory=dict)
    )

    def __post_init__(self) -> None:
        """Create the store of received updates."""
        self._paces = endpoint_paces.EndpointPaces(
            self.endpoint_table, lambda: self.hubs.uses_hubs
        )
        self._gatherer = update_gathering.UpdateGatherer(
            self.hubs.own.zone, self.hubs.zone_of
        )

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
            now = clock.monotonic()
            self.apply_peer_loads(now)
            self.send_updates(sock, now)
            await curio.sleep(self._interval_seconds())

    def _interval_seconds(self) -> float:
        if self.hubs.uses_hubs:
            return HUB_INTERVAL_SECONDS
        return interval_seconds(len(self.hubs.peers))

    def delay_seconds(self) -> float:
        """Return how late the statements of peers arrive at most, usually."""
        if self.hubs.uses_hubs:
            return HUB_DELAY_INTERVALS * HUB_INTERVAL_SECONDS
        return 0.0

    def send_updates(self, sock: typing.Any, now: clock.MonotonicTime) -> None:
        """Send what is due to the peers or hubs."""
        update = self.build_update(now)
        if not self.hubs.uses_hubs:
            self._send(sock, (p.address for p in self.hubs.peers), update)
            return
        hubs = self.hubs.own_hubs(now)
        self._send_to_hubs(sock, hubs, update, now)
        if self._is_first(hubs) or self._gatherer.askers():
            self._send_sums(sock, update, now)
        direct = self.hubs.legacy_peers if hubs else self.hubs.peers
        interval = interval_seconds(len(direct))
        if direct and now - self._sent_directly_at >= interval:
            self._sent_directly_at = now
            _send(sock, (p.address for p in direct), update)

    def _is_first(
        self, hubs: collections.abc.Sequence[hub_selection.UpdatePeer]
    ) -> bool:
        return bool(hubs) and hubs[0].id == self.daemon

    def _send_to_hubs(
        self,
        sock: typing.Any,
        hubs: collections.abc.Sequence[hub_selection.UpdatePeer],
        update: PeerUpdate,
        now: clock.MonotonicTime,
    ) -> None:
        """Send an update to the own hubs, and ask the first for totals."""
        if not self._has_changed(update) and now - self._sent_at < ASK_SECONDS:
            return
        self._sent_at = now
        self._sent_by_id = {item.endpoint: item for item in update.endpoints}
        asking = msgspec.structs.replace(update, wants_total=True)
        for hub in hubs:
            if hub.id != self.daemon:
                message = asking if hub is hubs[0] else update
                _send(sock, (hub.address,), message)

    def _send_sums(
        self, sock: typing.Any, own: PeerUpdate, now: clock.MonotonicTime
    ) -> None:
        """Send the sums of a hub to other hubs and to those that ask."""
        self._gatherer.put_own(own, now)
        address_by_id = self.hubs.address_by_id
        remote = {hub.address for hub in self.hubs.remote_hubs()}
        remote.update(
            address_by_id[hub]
            for hub in self._gatherer.summing_hubs()
            if hub in address_by_id
        )
        _send(sock, remote, self._gatherer.build_zone_sum(own, now))
        askers = [
            address_by_id[daemon]
            for daemon in self._gatherer.askers()
            if daemon in address_by_id
        ]
        if askers:
            _send(sock, askers, self._gatherer.build_total(own, now))

    def receive(self, update: PeerUpdate, now: clock.MonotonicTime) -> None:
        """Apply the update of a peer; raise ValueError if it is malformed."""
        if update.daemon == self.daemon:
            return
        if update.scope is peer_updates.Scope.ALL:
            self.hubs.record_total(update.daemon, now)
        self._gatherer.receive(update, now, self._ttl_seconds())
        if update.lease not in (objects.ABSENT_VERSION, self.get_lease()):
            self.on_lease(update.lease, now)
        # Before the kinds, whose age counts as an answer of the store.
        self.contact.receive(
            (update.store_since_ms, update.store_heard_ms), now
        )
        for kind in update.kinds:
            self.on_kind_update(kind, now)
        with self.endpoint_table.instances.batch():
            self.endpoint_table.instances.receive_departures(update.departures)
            for report_update in update.reports:
                self._apply_report(report_update, update.daemon)
        if update.parts:
            self.on_part_updates(update.parts, now)
        for item in update.endpoints:
            endpoint = self.endpoint_table.by_id.get(item.endpoint)
            if endpoint is not None:
                peer_updates.apply_endpoint_update(endpoint, item, now)

    def _ttl_seconds(self) -> float:
        if self.hubs.uses_hubs:
            return HUB_UPDATE_TTL_SECONDS
        return UPDATE_TTL_INTERVALS * self._interval_seconds()

    def _apply_report(
        self, update: report_updates.ReportUpdate, sender: ids.DaemonId
    ) -> None:
        report = report_updates.decode(update)
        if self.endpoint_table.instances.apply_report(update.instance, report):
            LOG.info(
                "head_changed",
                instance=update.instance,
                group=update.group,
                state=update.state,
                orders_taken=update.orders_taken,
                by=sender,
            )

    def apply_peer_loads(self, now: clock.MonotonicTime) -> None:
        """Set the peer load of each endpoint to the sum over all peers.

        The pace of each endpoint follows, also while peers are silent.
        """
        self._apply_sums(now)
        self._paces.update(now)

    def _apply_sums(self, now: clock.MonotonicTime) -> None:
        self._gatherer.expire(now)
        total = self._gatherer.total
        hubs = self.hubs.own_hubs(now) if self.hubs.uses_hubs else []
        if hubs and total is not None and not self._is_first(hubs):
            self._set_peer_loads(total.update.endpoints, total.at, True)
            return
        received = list(
            self._gatherer.others() if hubs else self._gatherer.direct()
        )
        if received:
            sums = update_gathering.add_up(received, now)
            self._set_peer_loads(sums, now, False)

    def _set_peer_loads(
        self,
        sums: collections.abc.Iterable[peer_updates.EndpointUpdate],
        at: clock.MonotonicTime,
        includes_own: bool,
    ) -> None:
        sum_by_id = {item.endpoint: item for item in sums}
        for endpoint in self.endpoint_table.by_id.values():
            item = sum_by_id.get(endpoint.id)
            own = self._sent_by_id.get(endpoint.id) if includes_own else None
            load, deferred, unread, held = _counts_without(item, own)
            endpoint.set_peer_load(load, at, deferred, unread, held)
            endpoint.pace.set_peers(_pace_of(item).minus(_pace_of(own)), at)
        self.endpoint_table.update_demand(at)

    def build_update(self, now: clock.MonotonicTime) -> PeerUpdate:
        """Return the update of this daemon, and count its parts as sent."""
        since_ms, heard_ms = self.contact.ages(now)
        return PeerUpdate(
            self.daemon,
            list(peer_updates.endpoint_updates(self.endpoint_table, now)),
            self.outbox.take(),
            self.get_lease(),
            self.get_kind_updates(now),
            self.get_part_updates(now),
            self.is_isolated(),
            self.endpoint_table.instances.take_departure_updates(now),
            store_since_ms=since_ms,
            store_heard_ms=heard_ms,
        )

    def is_peer_isolated(
        self, daemon: ids.DaemonId, now: clock.MonotonicTime
    ) -> bool:
        """Return whether a peer said lately that it is isolated."""
        return self._gatherer.is_isolated(daemon, now)

    def _has_changed(self, update: PeerUpdate) -> bool:
        """Return whether to send; of several empty updates only the first."""
        lease_changed = update.lease != self._lease_sent
        is_due = update.has_content or self._had_content or lease_changed
        self._had_content = update.has_content
        self._lease_sent = update.lease
        return is_due

    def _send(
        self, sock: typing.Any, targets: Targets, update: PeerUpdate
    ) -> None:
        """Send an update; of several empty ones in a row only the first."""
        if self._has_changed(update):
            _send(sock, targets, update)

    async def _receive(self, sock: typing.Any) -> None:
        empty_at = clock.monotonic()
        while True:
            data, sender = await sockets.receive_datagram(
                sock, MAX_DATAGRAM_BYTES
            )
            now = clock.monotonic()
            held_seconds = self.delays.seconds_between(empty_at, now)
            if not held_seconds or sockets.has_nothing_to_read(sock):
                empty_at = now
            try:
                update = peer_updates.decode(data)
                self.receive(_with_older_kinds(update, held_seconds), now)
            except ValueError as error:  # Includes msgspec.MsgspecError.
                LOG.warning(
                    "update_malformed", sender=sender, reason=str(error)
                )


def _counts_without(
    total: peer_updates.EndpointUpdate | None,
    own: peer_updates.EndpointUpdate | None,
) -> tuple[float, ...]:
    """Return the requests and tokens of a sum without those of this daemon."""
    if total is None:
        return 0.0, 0.0, 0.0, 0.0
    counts = _counts(total)
    if own is not None:
        counts = tuple(
            max(0, count - sent) for count, sent in zip(counts, _counts(own))
        )
    return tuple(map(float, counts))


def _counts(item: peer_updates.EndpointUpdate) -> tuple[int, ...]:
    return (
        item.in_flight,
        item.deferred,
        item.unread_tokens,
        item.held_tokens,
    )


def _pace_of(item: peer_updates.EndpointUpdate | None) -> pace.Sum:
    if item is None:
        return pace.NONE
    return pace.Sum(item.pace_samples, item.pace_total)


def _with_older_kinds(update: PeerUpdate, held_seconds: float) -> PeerUpdate:
    """Return an update that may have waited in the socket for some time.

    What is known of a kind must never count as newer than it is.
    """
    if not held_seconds or not update.kinds:
        return update
    replace = msgspec.structs.replace
    held_ms = math.ceil(1000 * held_seconds)
    kinds = [replace(k, age_ms=k.age_ms + held_ms) for k in update.kinds]
    return replace(update, kinds=kinds)


def interval_seconds(peers: int) -> float:
    """Return the seconds between two updates to a number of peers."""
    return max(INTERVAL_SECONDS, peers / MAX_DATAGRAMS_PER_SECOND)


def _send(sock: typing.Any, targets: Targets, update: PeerUpdate) -> None:
    """Send an update, in two datagrams if it is too large for one."""
    for data in _datagrams(update):
        for target in targets:
            try:
                sock._socket.sendto(data, (target.host, target.port))
            except OSError as error:
                LOG.debug(
                    "update_not_sent", peer=str(target), reason=str(error)
                )


def _datagrams(update: PeerUpdate) -> list[bytes]:
    data = peer_updates.encode(update)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    replace = msgspec.structs.replace
    loads = replace(update, reports=[], kinds=[], parts=[], departures=[])
    news = replace(update, endpoints=[], scope=peer_updates.Scope.NEWS)
    return [peer_updates.encode(loads), peer_updates.encode(news)]
