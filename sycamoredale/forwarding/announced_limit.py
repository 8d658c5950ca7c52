"""Keep to the limits that endpoints announce in their answers.

An endpoint in need names the requests a second that it takes from all daemons
together, in each answer for as long as that holds.  Each daemon keeps to its
share over a window that is long enough for a share of one request.  The
latest answer decides, whichever daemon received it: a daemon that sends
nothing to the endpoint hears from its peers what the endpoint says.
"""

import collections
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import daemon_shares
from sycamoredale import ids

WINDOW_SECONDS: Final = 4.0
# A daemon without news of an endpoint for so long sends to it again.
NEWS_TTL_SECONDS: Final = 30.0
NEVER: Final = clock.MonotonicTime(float("-inf"))


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Describe what an endpoint said of its limit, and when.

    `requests_per_second` is None if it named no limit.
    """

    requests_per_second: float | None = None
    at: clock.MonotonicTime = NEVER


SILENCE: Final = Announcement()


@dataclasses.dataclass
class AnnouncedLimit:
    """Track the limit of one endpoint and the recent sends to it.

    `own` is the latest announcement in an answer to this daemon, `latest`
    that to any daemon.
    """

    own: Announcement = SILENCE
    latest: Announcement = SILENCE
    was_limited: bool = False
    send_times: collections.deque[clock.MonotonicTime] = dataclasses.field(
        default_factory=collections.deque
    )

    def record_own(
        self, requests_per_second: float | None, now: clock.MonotonicTime
    ) -> bool:
        """Record what an answer said; return whether the limit changed."""
        if requests_per_second is None and not self.was_limited:
            return False
        self.own = Announcement(requests_per_second, now)
        return self.record(self.own)

    def record(self, announcement: Announcement) -> bool:
        """Record what a daemon heard; return whether the limit changed."""
        if announcement.at < self.latest.at:
            return False
        before = self.latest.requests_per_second
        self.latest = announcement
        limit = announcement.requests_per_second
        self.was_limited = self.was_limited or limit is not None
        return limit != before

    def has_own_news(self, now: clock.MonotonicTime) -> bool:
        """Return whether peers should hear the own announcement."""
        return now - self.own.at <= NEWS_TTL_SECONDS

    def current(self, now: clock.MonotonicTime) -> float | None:
        """Return the limit in requests a second, None without one."""
        if now - self.latest.at > NEWS_TTL_SECONDS:
            return None
        return self.latest.requests_per_second

    def record_send(self, now: clock.MonotonicTime) -> None:
        """Count a request that is sent to the endpoint."""
        self._drop_old(now)
        self.send_times.append(now)

    def sends_within(self, seconds: float, now: clock.MonotonicTime) -> int:
        """Count the requests sent in the last seconds, a window at most."""
        return sum(now - at < seconds for at in self.send_times)

    def may_send(
        self,
        endpoint: ids.InstanceId,
        shares: daemon_shares.DaemonShares,
        now: clock.MonotonicTime,
    ) -> bool:
        """Return whether the share of this daemon allows a request now."""
        limit = self.current(now)
        if limit is None:
            return True
        # The endpoint is never left alone, since only an answer of it can
        # end the limit.
        total = max(1, int(limit * WINDOW_SECONDS))
        self._drop_old(now)
        return len(self.send_times) < shares.share(endpoint, total, now)

    def seconds_until_next(self, now: clock.MonotonicTime) -> float:
        """Return when a place in the window is free, if the share has one."""
        if not self.send_times:
            return WINDOW_SECONDS
        return max(0.0, self.send_times[0] + WINDOW_SECONDS - now)

    def _drop_old(self, now: clock.MonotonicTime) -> None:
        while self.send_times and now - self.send_times[0] >= WINDOW_SECONDS:
            self.send_times.popleft()
