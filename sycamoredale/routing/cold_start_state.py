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

    abandoned_at: clock.MonotonicTime
    ends_by: clock.MonotonicTime


@dataclasses.dataclass
class ColdStartState:
    """Hold warmth, slots and what the engines reported."""

    record: warmth_module.ColdStartRecord
    record_since: clock.MonotonicTime
    ramp_started_at: clock.MonotonicTime = NEVER
    slots: int = 0
    max_request_seconds: float = 0.0
    lease_expires_at: clock.MonotonicTime = NEVER
    has_no_old_requests: bool = True
    complete_answers: int = 0
    ready_reports: int = 0
    abandoned: list[AbandonedRequest] = dataclasses.field(default_factory=list)

    def may_use_slots(self, now: clock.MonotonicTime) -> bool:
        """Tell if the slots may be used."""
        if now >= self.lease_expires_at:
            return False
        old_requests_end_at = self.record_since + self.max_request_seconds
        return self.has_no_old_requests or now >= old_requests_end_at

    def count_open_requests(
        self, in_flight: int, now: clock.MonotonicTime
    ) -> int:
        """Return how many requests of this router may run there."""
        self.abandoned = [x for x in self.abandoned if x.ends_by > now]
        return in_flight + len(self.abandoned)

    def add_abandoned(self, now: clock.MonotonicTime) -> None:
        """Keep the slot of a request that may still run."""
        until = clock.MonotonicTime(now + self.max_request_seconds)
        self.abandoned.append(AbandonedRequest(now, until))

    def replace_record(
        self, record: warmth_module.ColdStartRecord, now: clock.MonotonicTime
    ) -> None:
        """Take over a newer record and start to count anew."""
        was_warm = self.record.warm
        self.record = record
        self.complete_answers = 0
        self.ready_reports = 0
        self.record_since = now
        if not record.warm:
            self.has_no_old_requests = False
        elif not was_warm:
            self.ramp_started_at = now

    def apply_report(
        self,
        in_flight: int,
        is_ready: bool,
        running: int,
        now: clock.MonotonicTime,
    ) -> None:
        """Learn from a report of the engines."""
        may_predate_record = now - self.record_since < MAX_REPORT_LAG_SECONDS
        if self.record.round and may_predate_record:
            return
        if running <= in_flight:
            self.has_no_old_requests = True
            self.abandoned = [
                x
                for x in self.abandoned
                if now - x.abandoned_at < MAX_REPORT_LAG_SECONDS
            ]
        self.ready_reports = self.ready_reports + 1 if is_ready else 0

    def has_ended(self, kind: config_model.ServiceKind) -> bool:
        """Tell if the cold start is over."""
        has_answered = self.complete_answers >= MIN_COMPLETE_ANSWERS
        if kind is config_model.ServiceKind.PLAIN:
            return has_answered
        ready = self.ready_reports >= MIN_READY_REPORTS
        ready_without_answers = (
            self.ready_reports >= MIN_READY_REPORTS_WITHOUT_ANSWERS
        )
        return (has_answered and ready) or ready_without_answers

    def ramped_capacity(
        self, service: config_model.Service, now: clock.MonotonicTime
    ) -> float:
        """Return what all routers may send, at most about the capacity."""
        doublings = (now - self.ramp_started_at) / RAMP_DOUBLING_SECONDS
        if doublings >= math.log2(service.capacity / service.cold_limit):
            return service.capacity
        return service.cold_limit * math.pow(2.0, doublings)
