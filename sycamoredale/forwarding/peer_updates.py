"""Define the updates that daemons send to each other, and apply them.

Each daemon sees only its own requests.  The counts of its peers
show the load of an endpoint, and whether an endpoint that does not answer
this daemon makes progress for others.  Updates are sent as datagrams without
acknowledgement; the next update replaces a lost one.
"""

import collections.abc
import enum
from typing import Final

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
from sycamoredale.forwarding import store_contact
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.requests import part_updates

# What a hub returns of this daemon's own statements seems younger by the time
# on the way.
ECHO_TOLERANCE_SECONDS: Final = 0.05


class Scope(enum.Enum):
    """Tell whose requests an update counts.

    NEWS: it counts none, and only passes on the news of others.
    """

    OWN = "own"
    ZONE = "zone"
    ALL = "all"
    NEWS = "news"


class EndpointUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report the requests of one daemon on an endpoint, and its last progress.

    `progress_ms_ago` is -1 if the daemon has seen no progress.  `suspect_ms`
    is how much longer the daemon excludes the endpoint.  `deferred` counts
    the requests that wait there with a low queue priority.  `limit` is the
    rate that the endpoint named `limit_ms_ago` in an answer to the daemon,
    -1 if it named none; without any news both are -1.  `pace_total` is the
    sum of the ratios of `pace_samples`, see `sycamoredale.scheduling.pace`.
    `unread_tokens` and `held_tokens` are those of the requests of the daemon,
    where it estimates their work.
    """

    endpoint: ids.InstanceId
    in_flight: int
    progress_ms_ago: int
    suspect_ms: int
    deferred: int = 0
    limit: float = -1.0
    limit_ms_ago: int = -1
    pace_samples: int = 0
    pace_total: float = 0.0
    unread_tokens: int = 0
    held_tokens: int = 0


class PeerUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Carry the update of one daemon to its peers.

    `lease` is the version of the lease on the groups that the daemon wrote,
    or ABSENT if it does not hold the lease.  The holder also sends `kinds`,
    the changes of the kinds of objects that all daemons watch.  `parts` has
    the evidence on parts of prompts that ran on lost endpoints.  An `isolated`
    daemon opens no connections to endpoints.  `departures` are of instances
    that have said to the daemon that they leave.

    A hub adds up the updates of its zone, or of all daemons: see `scope`; the
    lease and the news are then those of others as well, and
    `isolated_daemons` names the isolated ones.  A daemon that `wants_total`
    asks the receiver for the sum of all.

    `store_since_ms` and `store_heard_ms` tell how long ago the interval began
    and ended in which the store has answered daemons, -1 if that is unknown.
    """

    daemon: ids.DaemonId
    endpoints: list[EndpointUpdate]
    reports: list[report_updates.ReportUpdate] = []
    lease: ids.ObjectVersion = objects.ABSENT_VERSION
    kinds: list[kind_updates.KindUpdate] = []
    parts: list[part_updates.PartUpdate] = []
    isolated: bool = False
    departures: list[departures_module.DepartureUpdate] = []
    scope: Scope = Scope.OWN
    isolated_daemons: list[ids.DaemonId] = []
    wants_total: bool = False
    store_since_ms: int = store_contact.NO_AGES[0]
    store_heard_ms: int = store_contact.NO_AGES[1]

    @property
    def has_content(self) -> bool:
        """Return whether the update says more than that its sender lives."""
        return bool(
            self.endpoints
            or self.reports
            or self.kinds
            or self.parts
            or self.isolated
            or self.departures
        )


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = decoding.MessagePackDecoder(PeerUpdate)


def encode(update: PeerUpdate) -> bytes:
    """Return the datagram of an update."""
    return _ENCODER.encode(update)


def decode(data: bytes) -> PeerUpdate:
    """Decode a datagram; raise ValueError."""
    update = _DECODER.decode(data)
    for item in update.endpoints:
        _check_counts(item)
    return update


def _check_counts(item: EndpointUpdate) -> None:
    """Raise MalformedInput if the item cannot be added up and sent on.

    NaN, infinity and numbers of over 64 bits can be neither.
    """
    counts = (
        item.in_flight,
        item.deferred,
        item.pace_samples,
        item.pace_total,
        item.unread_tokens,
        item.held_tokens,
    )
    ages = item.progress_ms_ago, item.limit_ms_ago
    if not (
        all(0 <= count <= decoding.MAX_INTEGER for count in counts)
        and all(age <= decoding.MAX_INTEGER for age in ages)
    ):
        raise decoding.MalformedInput(
            f"a count or age of endpoint {item.endpoint!r} is out of range"
        )


def endpoint_updates(
    table: endpoints.EndpointTable, now: clock.MonotonicTime
) -> collections.abc.Iterator[EndpointUpdate]:
    """Yield what this daemon has to say of endpoints."""
    for e in table.by_id.values():
        pace = e.pace.statement(now)
        if (
            e.in_flight
            or e.is_suspect(now)
            or e.limit.has_own_news(now)
            or pace.samples
        ):
            yield EndpointUpdate(
                e.id,
                e.in_flight,
                _progress_ms_ago(e, now),
                _suspect_ms(e, now),
                e.deferred,
                *_announcement_fields(e, now),
                pace.samples,
                # A whole number takes one byte, a fraction nine.
                round(pace.total),
                e.unread_tokens,
                e.held_tokens,
            )


def apply_endpoint_update(
    endpoint: endpoints.Endpoint,
    item: EndpointUpdate,
    now: clock.MonotonicTime,
) -> None:
    """Apply what a peer says of an endpoint, apart from its load."""
    _apply_announcement(endpoint, item, now)
    if item.progress_ms_ago >= 0:
        progress_at = now - item.progress_ms_ago / 1000
        known_until = endpoint.last_progress_at + ECHO_TOLERANCE_SECONDS
        if progress_at > known_until:
            endpoint.record_progress(clock.MonotonicTime(progress_at))
    # A single peer may have lost its connection to an endpoint that works.
    made_progress = (
        now - endpoint.last_progress_at < stall_detection.STALL_TIMEOUT_SECONDS
    )
    if item.suspect_ms <= 0 or made_progress:
        return
    until = now + item.suspect_ms / 1000
    if until > endpoint.suspect_until + ECHO_TOLERANCE_SECONDS:
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
