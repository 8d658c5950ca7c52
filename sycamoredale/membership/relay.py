"""Spread notices among daemons.

A notice is a small JSON value under a topic and a key.  A later notice
under the same key replaces an earlier one.  Delivery is best effort: what
must hold regardless is decided by the object API.

A notice goes at most once to each peer that this daemon has a relation
with, and is forgotten after its lifetime.  Notices of an urgent topic go
out at once; the others wait for the next heartbeat, and no heartbeat
carries more than a bounded number of bytes.
"""

import collections
import collections.abc
import dataclasses
import enum
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import ids

NOTICE_LIFETIME_SECONDS: Final = 60.0
MAX_NOTICES_KEPT: Final = 2048
MAX_SEQUENCES_KEPT: Final = 8192
MAX_NOTICE_BYTES: Final = 1000
SEQUENCE_STEP_PER_MILLISECOND: Final = 1000


class Topic(enum.Enum):
    """Name what a notice is about, the most urgent first."""

    CONFIGURATION = "configuration"
    ENDPOINT = "endpoint"
    POISON = "poison"
    ASSIGNMENT = "assignment"
    COLD_SLOTS = "cold_slots"
    USAGE = "usage"


URGENT_TOPICS: Final = frozenset(
    (Topic.CONFIGURATION, Topic.ENDPOINT, Topic.POISON, Topic.ASSIGNMENT)
)


class Notice(msgspec.Struct, frozen=True, array_like=True):
    """Carry one value from the daemon of origin; higher sequence wins."""

    topic: Topic
    key: str
    origin: ids.DaemonId
    sequence: int
    payload: msgspec.Raw


Subscriber = collections.abc.Callable[[Notice], None]
_Key = tuple[Topic, str, ids.DaemonId]


@dataclasses.dataclass
class _Kept:
    notice: Notice
    size_bytes: int
    expires: clock.MonotonicTime
    reached: set[ids.DaemonId]


@dataclasses.dataclass
class Relay:
    """Deliver notices to subscribers here and on other daemons.

    `first_sequence` must grow with each start under the same id.
    """

    own: ids.DaemonId
    subscribers_by_topic: dict[Topic, list[Subscriber]] = dataclasses.field(
        default_factory=dict
    )
    first_sequence: int = 0
    urgent: bool = False
    _sequence: int = 0
    _kept_by_key: collections.OrderedDict[_Key, _Kept] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    _sequence_by_key: collections.OrderedDict[_Key, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def subscribe(self, topic: Topic, subscriber: Subscriber) -> None:
        """Call the subscriber with each notice that arrives from a peer."""
        self.subscribers_by_topic.setdefault(topic, []).append(subscriber)

    def publish(self, topic: Topic, key: str, value: object) -> Notice:
        """Queue a notice for the peers; raise ValueError if too large."""
        self._sequence += 1
        sequence = self.first_sequence + self._sequence
        payload = msgspec.Raw(msgspec.json.encode(value))
        notice = Notice(topic, key, self.own, sequence, payload)
        size_bytes = len(msgspec.json.encode(notice))
        if size_bytes > MAX_NOTICE_BYTES:
            raise ValueError(
                f"notice {topic.value}/{key} has {size_bytes} bytes, "
                f"the relay carries {MAX_NOTICE_BYTES}"
            )
        self._keep(notice, size_bytes, clock.monotonic(), set())
        return notice

    def deliver(self, notice: Notice) -> None:
        """Hand a notice of a peer to the subscribers of its topic."""
        for subscriber in self.subscribers_by_topic.get(notice.topic, ()):
            subscriber(notice)

    def receive(
        self,
        notices: collections.abc.Iterable[Notice],
        sender: ids.DaemonId,
        now: clock.MonotonicTime,
    ) -> None:
        """Keep, pass on and deliver the notices that are news."""
        for notice in notices:
            key = (notice.topic, notice.key, notice.origin)
            kept = self._kept_by_key.get(key)
            if kept is not None and notice.sequence == kept.notice.sequence:
                kept.reached.add(sender)
            if notice.sequence <= self._sequence_by_key.get(key, -1):
                continue
            if notice.origin == self.own:
                continue
            size_bytes = len(msgspec.json.encode(notice))
            self._keep(notice, size_bytes, now, {sender, notice.origin})
            self.deliver(notice)

    def take(
        self,
        peer: ids.DaemonId,
        max_bytes: int,
        now: clock.MonotonicTime,
    ) -> list[Notice]:
        """Return notices that have not reached a peer, most urgent first."""
        self._expire(now)
        waiting = [
            k for k in self._kept_by_key.values() if peer not in k.reached
        ]
        waiting.sort(key=lambda k: _ORDER_BY_TOPIC[k.notice.topic])
        taken: list[Notice] = []
        for kept in waiting:
            if kept.size_bytes > max_bytes:
                break
            max_bytes -= kept.size_bytes
            kept.reached.add(peer)
            taken.append(kept.notice)
        return taken

    def give_back(
        self,
        peer: ids.DaemonId,
        notices: collections.abc.Iterable[Notice],
    ) -> None:
        """Count notices as not having reached a peer after a failure."""
        for notice in notices:
            key = (notice.topic, notice.key, notice.origin)
            kept = self._kept_by_key.get(key)
            if kept is not None and kept.notice == notice:
                kept.reached.discard(peer)

    def _keep(
        self,
        notice: Notice,
        size_bytes: int,
        now: clock.MonotonicTime,
        reached: set[ids.DaemonId],
    ) -> None:
        key = (notice.topic, notice.key, notice.origin)
        expires = clock.MonotonicTime(now + NOTICE_LIFETIME_SECONDS)
        self._kept_by_key.pop(key, None)
        self._kept_by_key[key] = _Kept(notice, size_bytes, expires, reached)
        if len(self._kept_by_key) > MAX_NOTICES_KEPT:
            self._kept_by_key.popitem(last=False)
        self._sequence_by_key[key] = notice.sequence
        self._sequence_by_key.move_to_end(key)
        if len(self._sequence_by_key) > MAX_SEQUENCES_KEPT:
            self._sequence_by_key.popitem(last=False)
        if notice.topic in URGENT_TOPICS:
            self.urgent = True

    def _expire(self, now: clock.MonotonicTime) -> None:
        while self._kept_by_key:
            key, oldest = next(iter(self._kept_by_key.items()))
            if oldest.expires > now:
                return
            del self._kept_by_key[key]


_ORDER_BY_TOPIC: Final = {topic: n for n, topic in enumerate(Topic)}


def first_sequence(started: clock.WallTime) -> int:
    """Return a first sequence that grows from one start to the next."""
    return int(started * 1000) * SEQUENCE_STEP_PER_MILLISECOND
