"""Conclude whether this daemon is isolated from the endpoints.

A link has two ends: a connection that fails does not show which of them has
failed.  A peer that reaches the same endpoint at the same time does: the fault
is at this end.  A daemon is isolated once peers reach several endpoints that
it does not, while it reached none itself; it is connected again once it has
reached several.
"""

import collections.abc
import dataclasses
import enum
from typing import Final

from sycamoredale import clock
from sycamoredale.http import messages
from sycamoredale import loop_delays
from sycamoredale.observability import exposition
from sycamoredale.observability import logs

# Single connections fail at random where links lose packets.
MIN_CONTRADICTED: Final = 5
CONTRADICTION_TTL_SECONDS: Final = 2.0
MIN_RESTORED: Final = 2
# Engines that work write several events in this time.
SILENCE_SECONDS: Final = 0.4
NEVER: Final = clock.MonotonicTime(float("-inf"))
LOG: Final = logs.get("links")


class LinkState(enum.Enum):
    """Distinguish whether this daemon opens connections to endpoints."""

    CONNECTED = "connected"
    ISOLATED = "isolated"


OnChange = collections.abc.Callable[[LinkState], None]


@dataclasses.dataclass
class LinkMonitor:
    """Record what was seen over the links of this daemon, and conclude.

    `opened_at` is when it last opened a connection itself, and `heard_at`
    when an endpoint last sent something on one.
    """

    count_endpoints: collections.abc.Callable[[], int]
    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    on_change: list[OnChange] = dataclasses.field(default_factory=list)
    state: LinkState = LinkState.CONNECTED
    delays: loop_delays.LoopDelays = dataclasses.field(
        default_factory=loop_delays.LoopDelays
    )
    since: clock.MonotonicTime = NEVER
    opened_at: clock.MonotonicTime = NEVER
    heard_at: clock.MonotonicTime = NEVER
    _contradicted_at: dict[messages.Address, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    _restored: set[messages.Address] = dataclasses.field(default_factory=set)

    @property
    def is_isolated(self) -> bool:
        """Return whether this daemon opens no connection to any endpoint."""
        return self.state is LinkState.ISOLATED

    def is_silent(self, now: clock.MonotonicTime) -> bool:
        """Return whether open connections are as dead as new ones."""
        if not self.is_isolated or now - self.heard_at <= SILENCE_SECONDS:
            return False
        silent_seconds = self.delays.attentive_seconds(self.heard_at, now)
        return silent_seconds > SILENCE_SECONDS

    def record_opened(
        self, address: messages.Address, now: clock.MonotonicTime
    ) -> None:
        """Record a connection that this daemon opened itself."""
        self.opened_at = now
        self._contradicted_at.clear()
        if not self.is_isolated:
            return
        self._restored.add(address)
        if len(self._restored) >= min(MIN_RESTORED, self.count_endpoints()):
            self._change(LinkState.CONNECTED, now)

    def record_heard(self, now: clock.MonotonicTime) -> None:
        """Record data of an endpoint on a connection of this daemon."""
        self.heard_at = now

    def record_failed(self) -> None:
        """Record a connection that this daemon could not open."""
        self._restored.clear()

    def record_contradiction(
        self, address: messages.Address, now: clock.MonotonicTime
    ) -> None:
        """Record that a peer reaches an endpoint that this daemon does not."""
        self.metrics.count("links", "contradicted")
        self._contradicted_at[address] = now
        self._contradicted_at = {
            known: at
            for known, at in self._contradicted_at.items()
            if now - at < CONTRADICTION_TTL_SECONDS
        }
        needed = min(MIN_CONTRADICTED, self.count_endpoints())
        if not self.is_isolated and len(self._contradicted_at) >= needed:
            self._change(LinkState.ISOLATED, now)

    def _change(self, state: LinkState, now: clock.MonotonicTime) -> None:
        self.metrics.count("links", state.value)
        LOG.warning(
            "links_changed",
            state=state.value,
            seconds=round(now - self.since, 3) if self.since > 0 else None,
            reached_by_peers=sorted(map(str, self._contradicted_at)),
            reached=sorted(map(str, self._restored)),
            heard_ms_ago=_ms_ago(self.heard_at, now),
        )
        self.state = state
        self.since = now
        self._restored.clear()
        self._contradicted_at.clear()
        for listener in self.on_change:
            listener(state)


def _ms_ago(at: clock.MonotonicTime, now: clock.MonotonicTime) -> int | None:
    return None if at == NEVER else int(1000 * (now - at))
