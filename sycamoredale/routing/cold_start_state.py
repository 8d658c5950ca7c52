"""Hold the cold start of one endpoint, as one router knows it.

The router may send to a cold endpoint only under a lease on its slots.  An
endpoint that turned cold again first has to settle: what was sent before
must have ended, by a report of the engines or by the time that it may take.
"""

import dataclasses
import math
from typing import Final

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.routing import cold_start_records as warmth_module

MIN_COMPLETE_ANSWERS: Final = 2
MIN_READY_REPORTS: Final = 2
MIN_READY_REPORTS_WITHOUT_ANSWERS: Final = 6
RAMP_DOUBLING_SECONDS: Final = 1.0
MAX_REPORT_LAG_SECONDS: Final = 3.0
NEVER: Final = clock.MonotonicTime(-math.inf)


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedRequest:
    """Hold a request that may run on without its caller."""

    since: clock.MonotonicTime
    until: clock.MonotonicTime


@dataclasses.dataclass
class ColdStartState:
    """Hold warmth, slots and what the engines reported."""

    warmth: warmth_module.ColdStartRecord
    since: clock.MonotonicTime
    ramp_from: clock.MonotonicTime = NEVER
    slots: int = 0
    request_seconds: float = 0.0
    lease_until: clock.MonotonicTime = NEVER
    is_settled: bool = True
    served: int = 0
    ready_reports: int = 0
    abandoned: list[AbandonedRequest] = dataclasses.field(default_factory=list)

    def holds(self, now: clock.MonotonicTime) -> bool:
        """Tell if the slots may be used."""
        if now >= self.lease_until:
            return False
        settled_at = self.since + self.request_seconds
        return self.is_settled or now >= settled_at

    def open_requests(self, in_flight: int, now: clock.MonotonicTime) -> int:
        """Return how many requests of this router may run there."""
        self.abandoned = [x for x in self.abandoned if x.until > now]
        return in_flight + len(self.abandoned)

    def abandon(self, now: clock.MonotonicTime) -> None:
        """Keep the slot of a request that may still run."""
        until = clock.MonotonicTime(now + self.request_seconds)
        self.abandoned.append(AbandonedRequest(now, until))

    def take(
        self, record: warmth_module.ColdStartRecord, now: clock.MonotonicTime
    ) -> None:
        """Take over a newer record and start to count anew."""
        was_warm = self.warmth.warm
        self.warmth = record
        self.served = 0
        self.ready_reports = 0
        self.since = now
        if not record.warm:
            self.is_settled = False
        elif not was_warm:
            self.ramp_from = now

    def reported(
        self,
        in_flight: int,
        is_ready: bool,
        running: int,
        now: clock.MonotonicTime,
    ) -> None:
        """Learn from a report of the engines."""
        is_early = now - self.since < MAX_REPORT_LAG_SECONDS
        if self.warmth.round and is_early:
            return
        if running <= in_flight:
            self.is_settled = True
            self.abandoned = [
                x
                for x in self.abandoned
                if now - x.since < MAX_REPORT_LAG_SECONDS
            ]
        self.ready_reports = self.ready_reports + 1 if is_ready else 0

    def has_ended(self, kind: config_model.ServiceKind) -> bool:
        """Tell if the cold start is over."""
        served = self.served >= MIN_COMPLETE_ANSWERS
        if kind is config_model.ServiceKind.PLAIN:
            return served
        ready = self.ready_reports >= MIN_READY_REPORTS
        quiet = self.ready_reports >= MIN_READY_REPORTS_WITHOUT_ANSWERS
        return (served and ready) or quiet

    def ramped(
        self, service: config_model.Service, now: clock.MonotonicTime
    ) -> float:
        """Return what all routers may send, at most about the capacity."""
        doublings = (now - self.ramp_from) / RAMP_DOUBLING_SECONDS
        if doublings >= math.log2(service.capacity / service.cold_limit):
            return service.capacity
        return service.cold_limit * math.pow(2.0, doublings)
