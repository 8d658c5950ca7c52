"""Track whether one controller has opened and closed the head of a group.

The members of a closed head may join another group at once.  This is safe
only if no order to open the head can still be in flight, and if the report
that the head is ready is newer than the order that closed it.
"""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import instance_state

# A head carries out an order to open within this time.
MAX_OPEN_SECONDS: Final = 1.0
# Reports are a few hundred milliseconds old; this covers one more probe.
REPORT_LAG_SECONDS: Final = 0.6

StateVersion = tuple[int, int]


@dataclasses.dataclass
class HeadTracker:
    """Track the orders to open and close one head.

    `version_before_close` is the version of the report on which the first
    valid order to close was decided.
    """

    open_decided_at: clock.MonotonicTime
    opened_at: clock.MonotonicTime | None = None
    closed_at: clock.MonotonicTime | None = None
    version_before_close: StateVersion | None = None
    may_open_late: bool = False

    def mark_opening(self, now: clock.MonotonicTime) -> None:
        """Record that an order to open is sent; the head is not closed.

        A head that leaves the instance list is closed, and opened again
        when it returns.
        """
        self.open_decided_at = now
        self.closed_at = None
        self.version_before_close = None

    def record_open(self, accepted: bool, now: clock.MonotonicTime) -> None:
        """Record the outcome of an order to open.

        An order that was not answered may be carried out late.
        """
        self.may_open_late |= not accepted
        self.opened_at = now

    def record_close(
        self,
        version: StateVersion,
        decided_at: clock.MonotonicTime,
        now: clock.MonotonicTime,
    ) -> None:
        """Record that the head accepted an order to close.

        `version` is that of the report on which the order was decided.
        An order that was decided before the head was certainly open is
        ignored.
        """
        if self.opened_at is None or decided_at <= self.open_decided_at:
            return
        if decided_at < self.opened_at + MAX_OPEN_SECONDS:
            return
        if self.closed_at is None:
            self.closed_at = now
            self.version_before_close = version

    def is_closed(self, head: instance_state.Instance) -> bool:
        """Return whether a report confirms that the head was closed."""
        membership = head.membership
        return (
            self.version_before_close is not None
            and head.state_version > self.version_before_close
            and not self.may_open_late
            and membership is not None
            and membership.state is instance_state.MemberState.READY
        )

    def recently_closed(self, now: clock.MonotonicTime) -> bool:
        """Return whether the head was closed too recently to report it."""
        return (
            self.closed_at is not None
            and now < self.closed_at + REPORT_LAG_SECONDS
        )
