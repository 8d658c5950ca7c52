"""Know whether one keeper has surely opened and closed a head.

The members of a closed head may join another group at once.  That is safe
only if no order to open the head can still be on its way, and if the word
that it is ready is younger than the order that closed it.
"""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import listing

# A head that was told to open does so within this time.
OPEN_SECONDS: Final = 1.0
# Reports are some hundred milliseconds old; this covers one more probe.
REPORT_LAG_SECONDS: Final = 0.6

Age = tuple[int, int]


@dataclasses.dataclass
class HeadTracker:
    """Hold the orders to open and to close that one head was given."""

    open_decided_at: clock.MonotonicTime
    opened_at: clock.MonotonicTime | None = None
    closed_at: clock.MonotonicTime | None = None
    age_before_close: Age | None = None
    may_open_late: bool = False

    def mark_opening(self, now: clock.MonotonicTime) -> None:
        """Take the head for closed no more.

        One that had left the list was closed, and opens when it is back.
        """
        self.open_decided_at = now
        self.closed_at = None
        self.age_before_close = None

    def record_open(self, taken: bool, now: clock.MonotonicTime) -> None:
        """Note the end of an order to open.

        One without an answer may be carried out late.
        """
        self.may_open_late |= not taken
        self.opened_at = now

    def record_close(
        self,
        age: Age,
        decided_at: clock.MonotonicTime,
        now: clock.MonotonicTime,
    ) -> None:
        """Note that the head took an order to close.

        `age` is that of its word on which the order was decided.  An order
        from before the head was surely open says nothing.
        """
        if self.opened_at is None or decided_at <= self.open_decided_at:
            return
        if decided_at < self.opened_at + OPEN_SECONDS:
            return
        if self.closed_at is None:
            self.closed_at = now
            self.age_before_close = age

    def is_closed(self, head: listing.Instance) -> bool:
        """Tell whether the head says that it took the order to close."""
        place = head.membership
        return (
            self.age_before_close is not None
            and head.age > self.age_before_close
            and not self.may_open_late
            and place is not None
            and place.state is listing.MemberState.READY
        )

    def recently_closed(self, now: clock.MonotonicTime) -> bool:
        """Tell whether the head may not have had time to say so."""
        return (
            self.closed_at is not None
            and now < self.closed_at + REPORT_LAG_SECONDS
        )
