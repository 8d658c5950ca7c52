"""Spread notices among daemons by gossip.

A notice is a small JSON value under a topic and a key.  A later notice of
the same origin under the same key replaces an earlier one.  Delivery is best
effort: invariants are enforced by the object API, never by notices.

A notice is sent at most once to each neighbour and dropped after its
lifetime.  A neighbour that has started again under its id has lost what it
knew, and is sent the notices again.  Notices of an urgent topic are sent
immediately; the others wait for the next heartbeat.  The notices of one
heartbeat are limited in bytes.
A topic that a later build has added is passed on, least urgent.
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
MAX_QUEUED_NOTICES: Final = 2048
MAX_TRACKED_SEQUENCES: Final = 8192
MAX_NOTICE_BYTES: Final = 1000
SEQUENCES_PER_MILLISECOND: Final = 1000


class Topic(enum.StrEnum):
    """Distinguish the subjects of notices, in descending urgency."""

    CONFIGURATION = "configuration"
    ENDPOINT = "endpoint"
    POISON = "poison"
    PROMPT_PART = "prompt_part"
    ASSIGNMENT = "assignment"
    COLD_SLOTS = "cold_slots"
    USAGE = "usage"


URGENT_TOPICS: Final = frozenset(
    (
        Topic.CONFIGURATION,
        Topic.ENDPOINT,
        Topic.POISON,
        Topic.PROMPT_PART,
        Topic.ASSIGNMENT,
    )
)


class Notice(msgspec.Struct, frozen=True, array_like=True):
    """Carry one value of a daemon; a higher sequence replaces a lower.

    The topic is a `Topic` or the name of a later one.  The value was
    published `age_ms` before the notice was sent; builds that do not know the
    age pass the notice on as a new one.
    """

    topic: str
    key: str
    origin: ids.DaemonId
    sequence: int
    payload: msgspec.Raw
    age_ms: int = 0

    def published_at(self, now: clock.MonotonicTime) -> clock.MonotonicTime:
        """Return when the value of a notice that arrives now was new."""
        return clock.ms_before(self.age_ms, now)


Subscriber = collections.abc.Callable[[Notice], None]
GetIncarnation = collections.abc.Callable[[ids.DaemonId], ids.Incarnation]
_Key = tuple[str, str, ids.DaemonId]
_Receiver = tuple[ids.DaemonId, ids.Incarnation]


@dataclasses.dataclass
class _QueuedNotice:
    notice: Notice
    size_bytes: int
    published_at: clock.MonotonicTime
    sent_to: set[_Receiver]

    def with_age(self, now: clock.MonotonicTime) -> Notice:
        age_ms = clock.ms_since(self.published_at, now)
        return msgspec.structs.replace(self.notice, age_ms=age_ms)


@dataclasses.dataclass
class Gossip:
    """Queue notices for peers and deliver received ones to subscribers.

    `first_sequence` must increase with each start under the same id, since
    peers ignore sequences that are not higher than the last one they saw.
    `get_incarnation` returns the last known incarnation of a peer.
    """

    own_id: ids.DaemonId
    subscribers_by_topic: dict[str, list[Subscriber]] = dataclasses.field(
        default_factory=dict
    )
    first_sequence: int = 0
    get_incarnation: GetIncarnation = lambda peer: ids.Incarnation(0)
    has_urgent: bool = False
    _sequence: int = 0
    _queued_by_key: collections.OrderedDict[_Key, _QueuedNotice] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    _sequence_by_key: collections.OrderedDict[_Key, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def subscribe(self, topic: Topic, subscriber: Subscriber) -> None:
        """Call the subscriber for each notice received from a peer."""
        self.subscribers_by_topic.setdefault(topic, []).append(subscriber)

    def publish(self, topic: Topic, key: str, value: object) -> Notice:
        """Queue a notice for peers; raise ValueError if it is too large."""
        self._sequence += 1
        sequence = self.first_sequence + self._sequence
        payload = msgspec.Raw(msgspec.json.encode(value))
        notice = Notice(topic, key, self.own_id, sequence, payload)
        size_bytes = len(msgspec.json.encode(notice))
        if size_bytes > MAX_NOTICE_BYTES:
            raise ValueError(
                f"notice {topic.value}/{key} has {size_bytes} bytes; "
                f"the limit is {MAX_NOTICE_BYTES}"
            )
        self._enqueue(notice, size_bytes, clock.monotonic(), set())
        return notice

    def deliver(self, notice: Notice) -> None:
        """Pass a notice to the subscribers of its topic."""
        for subscriber in self.subscribers_by_topic.get(notice.topic, ()):
            subscriber(notice)

    def receive(
        self,
        notices: collections.abc.Iterable[Notice],
        sender: ids.DaemonId,
        now: clock.MonotonicTime,
    ) -> None:
        """Queue and deliver those notices that have not been seen yet."""
        for notice in notices:
            key = (notice.topic, notice.key, notice.origin)
            queued = self._queued_by_key.get(key)
            if (
                queued is not None
                and notice.sequence == queued.notice.sequence
            ):
                queued.sent_to.add(self._receiver(sender))
            if notice.sequence <= self._sequence_by_key.get(key, -1):
                continue
            if notice.origin == self.own_id:
                continue
            size_bytes = len(msgspec.json.encode(notice))
            sent_to = {self._receiver(d) for d in (sender, notice.origin)}
            published_at = notice.published_at(now)
            self._enqueue(notice, size_bytes, published_at, sent_to)
            self.deliver(notice)

    def dequeue(
        self,
        peer: ids.DaemonId,
        max_bytes: int,
        now: clock.MonotonicTime,
    ) -> list[Notice]:
        """Return notices not yet sent to a peer, most urgent first."""
        self._expire(now)
        receiver = self._receiver(peer)
        unsent = [
            entry
            for entry in self._queued_by_key.values()
            if receiver not in entry.sent_to
        ]
        unsent.sort(key=lambda entry: _rank(entry.notice.topic))
        notices_to_send: list[Notice] = []
        for queued in unsent:
            if queued.size_bytes > max_bytes:
                break
            max_bytes -= queued.size_bytes
            queued.sent_to.add(receiver)
            notices_to_send.append(queued.with_age(now))
        return notices_to_send

    def requeue(
        self,
        peer: ids.DaemonId,
        notices: collections.abc.Iterable[Notice],
    ) -> None:
        """Mark notices as unsent to a peer after a failed request."""
        for notice in notices:
            key = (notice.topic, notice.key, notice.origin)
            queued = self._queued_by_key.get(key)
            if (
                queued is not None
                and queued.notice.sequence == notice.sequence
            ):
                queued.sent_to.discard(self._receiver(peer))

    def _enqueue(
        self,
        notice: Notice,
        size_bytes: int,
        published_at: clock.MonotonicTime,
        sent_to: set[_Receiver],
    ) -> None:
        key = (notice.topic, notice.key, notice.origin)
        self._queued_by_key.pop(key, None)
        self._queued_by_key[key] = _QueuedNotice(
            notice, size_bytes, published_at, sent_to
        )
        if len(self._queued_by_key) > MAX_QUEUED_NOTICES:
            self._queued_by_key.popitem(last=False)
        self._sequence_by_key[key] = notice.sequence
        self._sequence_by_key.move_to_end(key)
        if len(self._sequence_by_key) > MAX_TRACKED_SEQUENCES:
            self._sequence_by_key.popitem(last=False)
        if notice.topic in URGENT_TOPICS:
            self.has_urgent = True

    def _receiver(self, peer: ids.DaemonId) -> _Receiver:
        return peer, self.get_incarnation(peer)

    def _expire(self, now: clock.MonotonicTime) -> None:
        since = now - NOTICE_LIFETIME_SECONDS
        expired = [
            key
            for key, queued in self._queued_by_key.items()
            if queued.published_at <= since
        ]
        for key in expired:
            del self._queued_by_key[key]


_RANK_BY_TOPIC: Final[dict[str, int]] = {
    topic.value: rank for rank, topic in enumerate(Topic)
}


def _rank(topic: str) -> int:
    return _RANK_BY_TOPIC.get(topic, len(Topic))


def first_sequence(started: clock.WallTime) -> int:
    """Return a first sequence that increases from one start to the next."""
    return int(started * 1000) * SEQUENCES_PER_MILLISECOND
