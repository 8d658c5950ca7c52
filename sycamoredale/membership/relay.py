"""Spread notices among daemons.

A notice is a small JSON value under a topic and a key.  A later notice
under the same key replaces an earlier one.  Delivery is best effort: what
must hold regardless is decided by the object API.
"""

import collections.abc
import dataclasses
import enum

import msgspec

from sycamoredale import ids


class Topic(enum.Enum):
    """Name what a notice is about."""

    CONFIGURATION = "configuration"
    ASSIGNMENT = "assignment"
    ENDPOINT = "endpoint"
    POISON = "poison"
    USAGE = "usage"
    COLD_SLOTS = "cold_slots"


class Notice(msgspec.Struct, frozen=True):
    """Carry one value from the daemon of origin; higher sequence wins."""

    topic: Topic
    key: str
    origin: ids.DaemonId
    sequence: int
    payload: msgspec.Raw


Subscriber = collections.abc.Callable[[Notice], None]


@dataclasses.dataclass
class Relay:
    """Deliver notices to subscribers here and on other daemons."""

    own: ids.DaemonId
    subscribers_by_topic: dict[Topic, list[Subscriber]] = dataclasses.field(
        default_factory=dict
    )
    _sequence: int = 0

    def subscribe(self, topic: Topic, subscriber: Subscriber) -> None:
        """Call the subscriber with each notice that arrives from a peer."""
        self.subscribers_by_topic.setdefault(topic, []).append(subscriber)

    def publish(self, topic: Topic, key: str, value: object) -> Notice:
        """Queue a notice for the peers."""
        self._sequence += 1
        payload = msgspec.Raw(msgspec.json.encode(value))
        return Notice(topic, key, self.own, self._sequence, payload)

    def deliver(self, notice: Notice) -> None:
        """Hand a notice of a peer to the subscribers of its topic."""
        for subscriber in self.subscribers_by_topic.get(notice.topic, ()):
            subscriber(notice)
