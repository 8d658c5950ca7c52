"""Learn how much slower an endpoint is than its engine states.

Answers slow instances: an endpoint that takes four or twelve times as long for
each step accepts requests and makes progress, so that nothing but the pauses
between the events of its streams shows it.  Each daemon compares them with
those that the engine should make, and adds up what all daemons saw.

While the prompt of another request is read, a healthy endpoint pauses for up
to a third of a second.  A sample covers several events, so that one such pause
is a part of a sample, and a mean covers the samples of two seconds.
"""

import collections
import collections.abc
import dataclasses
import enum
import math
import statistics
from typing import Final

from sycamoredale import clock

# A stream gives at most five samples a second.  Samples of equal length let
# the many short pauses before a slowdown not outweigh the few long ones in it.
MIN_SAMPLE_SECONDS: Final = 0.2
# With fewer, one pause for a prompt would make up most of a sample.
MIN_SAMPLE_EVENTS: Final = 4
# Longer than a pause for a prompt and the usual ones in the same sample.  An
# endpoint that is slow by a factor of 12 sends an event in 0.4 to 0.7 s, and
# four would take too long.
LONG_SAMPLE_SECONDS: Final = 0.6
# The shortest answers of the routes with streams have four events.
MIN_LAST_SAMPLE_EVENTS: Final = 3
# A caller that reads takes an event within a millisecond or two.
MAX_IDLE_SECONDS: Final = 0.02
WINDOW_SECONDS: Final = 2.0
MIN_SAMPLES: Final = 4
MAX_SLOWDOWN: Final = 20.0
# Healthy endpoints reach 1.4 with a pause of a third of a second in a window.
MIN_SLOWDOWN: Final = 1.5
SLOW_ABOVE: Final = 2.5
# Below `SLOW_ABOVE`, so that an endpoint near it does not change at each look.
HEALTHY_BELOW: Final = 2.0
# A slow endpoint that did not seem slow for so long counts as usual.  Short
# answers give fewer than four samples in a window.
FORGET_SECONDS: Final = 10.0
# The median of two endpoints is decided by one of them.
MIN_COMPARED: Final = 3
# Cost of an endpoint without requests by which it is slower than its engine
# states: one of a third of the pace is used once the others are half full,
# like a cross-domain group.
BASE_COST: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Pauses:
    """State the pause between two events of an engine, by its load."""

    slots: int
    seconds: float
    seconds_per_request: float

    def expected_seconds(self, load: float) -> float:
        """Return the pause while `load` requests are at the endpoint."""
        running = max(1.0, min(load, self.slots))
        return self.seconds + running * self.seconds_per_request


@dataclasses.dataclass(frozen=True, slots=True)
class Sum:
    """Add up samples: their number and the sum of their ratios.

    A ratio is the time that events took over the time that they should take.
    """

    samples: int = 0
    total: float = 0.0

    @property
    def mean(self) -> float:
        """Return the mean ratio, 1 without samples."""
        return self.total / self.samples if self.samples else 1.0

    def plus(self, other: "Sum") -> "Sum":
        """Return the sum of both."""
        return Sum(self.samples + other.samples, self.total + other.total)

    def minus(self, other: "Sum") -> "Sum":
        """Return the sum without a part of it.

        The part may have changed since it was added.
        """
        samples = self.samples - other.samples
        if samples <= 0:
            return NONE
        return Sum(samples, max(0.0, self.total - other.total))


NONE: Final = Sum()


class Change(enum.Enum):
    """Tell that an endpoint begins or ends to count as slow."""

    BEGAN = "began"
    ENDED = "ended"


@dataclasses.dataclass
class EndpointPace:
    """Keep what this daemon and its peers know of the pace of an endpoint.

    `slowdown` is at least 1.  A slow endpoint gets single trial calls until
    samples show that it has recovered.  `is_sent` is false while this daemon
    itself seems to be slow.
    """

    slowdown: float = 1.0
    is_slow: bool = False
    is_sent: bool = True
    _own: collections.deque[tuple[clock.MonotonicTime, float]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    _peers: Sum = NONE
    _peers_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    _seen_slow_at: clock.MonotonicTime = clock.MonotonicTime(0.0)

    @property
    def is_untested(self) -> bool:
        """Return whether an endpoint was slow, and nothing recent is known."""
        return self.is_slow and self.slowdown == 1.0

    def record(self, ratio: float, now: clock.MonotonicTime) -> None:
        """Record a sample of this daemon."""
        self._own.append((now, min(ratio, MAX_SLOWDOWN)))

    def own(self, now: clock.MonotonicTime) -> Sum:
        """Return the sum of the recent samples of this daemon."""
        own = self._own
        while own and now - own[0][0] >= WINDOW_SECONDS:
            own.popleft()
        return Sum(len(own), sum(ratio for _, ratio in own)) if own else NONE

    def statement(self, now: clock.MonotonicTime) -> Sum:
        """Return what this daemon tells its peers."""
        return self.own(now) if self.is_sent else NONE

    def set_peers(self, peers: Sum, at: clock.MonotonicTime) -> None:
        """Set the sum of the samples of all other daemons."""
        is_valid = peers.samples > 0 and 0.0 <= peers.total < math.inf
        self._peers = peers if is_valid else NONE
        self._peers_at = at

    def peers(self, now: clock.MonotonicTime) -> Sum:
        """Return the sum of the peers, unless it is too old."""
        if now - self._peers_at >= WINDOW_SECONDS:
            return NONE
        return self._peers

    def update(self, now: clock.MonotonicTime) -> Change | None:
        """Set the slowdown from the samples of all daemons."""
        known = self.statement(now).plus(self.peers(now))
        if known.mean >= HEALTHY_BELOW:
            self._seen_slow_at = now
        # One trial call on a slow endpoint gives two samples in a window.
        enough = 1 if self.is_slow else MIN_SAMPLES
        mean = known.mean if known.samples >= enough else 1.0
        mean = min(mean, MAX_SLOWDOWN)
        self.slowdown = mean if mean >= MIN_SLOWDOWN else 1.0
        if not self.is_slow and mean > SLOW_ABOVE:
            self.is_slow = True
            return Change.BEGAN
        if self.is_slow and self._has_recovered(known, now):
            self.is_slow = False
            return Change.ENDED
        return None

    def _has_recovered(self, known: Sum, now: clock.MonotonicTime) -> bool:
        if known.samples >= MIN_SAMPLES:
            return known.mean < HEALTHY_BELOW
        return now - self._seen_slow_at >= FORGET_SECONDS

    def reset(self) -> None:
        """Forget everything."""
        self.slowdown = 1.0
        self.is_slow = False
        self._own.clear()
        self._peers = NONE


def is_daemon_slow(
    paces: collections.abc.Iterable[EndpointPace], now: clock.MonotonicTime
) -> bool:
    """Return whether this daemon is slow, and not the endpoints.

    Without enough processor time or bandwidth it sees all endpoints slow; its
    peers see the same endpoints otherwise.
    """
    compared = [
        own.mean / max(1.0, peers.mean)
        for own, peers in ((p.own(now), p.peers(now)) for p in paces)
        if own.samples and peers.samples >= MIN_SAMPLES
    ]
    if len(compared) < MIN_COMPARED:
        return False
    return statistics.median(compared) >= MIN_SLOWDOWN


def load_cost(load_per_slot: float, slowdown: float) -> float:
    """Return the load per slot of an endpoint as it seems to a call.

    A slow endpoint is worse than others also if it has no requests.
    """
    return slowdown * load_per_slot + BASE_COST * (slowdown - 1.0)


@dataclasses.dataclass(slots=True)
class StreamMeter:
    """Measure the pauses between the events of one stream.

    `get_load` returns the load of the endpoint, and `delayed_seconds` for how
    long this daemon did not read since some time.
    """

    pace: EndpointPace
    pauses: Pauses
    get_load: collections.abc.Callable[[clock.MonotonicTime], float]
    delayed_seconds: collections.abc.Callable[
        [clock.MonotonicTime, clock.MonotonicTime], float
    ]
    _began_at: clock.MonotonicTime | None = None
    _last_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    _events: int = 0

    def record_events(self, count: int, now: clock.MonotonicTime) -> None:
        """Record events that arrived in one read.

        The wait for the first event is no pause: it includes the queue.
        """
        self._last_at = now
        if self._began_at is None:
            self._began_at = now
            return
        self._events += count
        seconds = now - self._began_at
        if seconds >= MIN_SAMPLE_SECONDS and (
            self._events >= MIN_SAMPLE_EVENTS or seconds >= LONG_SAMPLE_SECONDS
        ):
            self._finish_sample()

    def record_idle(self, seconds: float) -> None:
        """Drop the present sample if nothing was read for long."""
        if seconds > MAX_IDLE_SECONDS:
            self._began_at = None
            self._events = 0

    def end(self) -> None:
        """Finish the last sample of a stream that has ended."""
        if self._events >= MIN_LAST_SAMPLE_EVENTS:
            self._finish_sample()

    def _finish_sample(self) -> None:
        began_at, ended_at = self._began_at, self._last_at
        assert began_at is not None
        if not self.delayed_seconds(began_at, ended_at):
            load = self.get_load(ended_at)
            expected = self._events * self.pauses.expected_seconds(load)
            if expected > 0:
                self.pace.record((ended_at - began_at) / expected, ended_at)
        self._began_at = ended_at
        self._events = 0
