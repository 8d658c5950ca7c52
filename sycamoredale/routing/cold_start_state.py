"""Track the cold start of one endpoint, as observed by one router.

The router may send to a cold endpoint only under a lease on its slots.
After a warm endpoint has turned cold, requests that were sent while it was
warm must end before the slots are used: either an engine report shows that
they have ended, or the longest time that a request may take has passed.
"""

import dataclasses
import math
from typing import Final

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.routing import cold_start_records

MIN_COMPLETE_ANSWERS: Final = 2
# Consecutive reports that the engines are ready.
MIN_READY_REPORTS: Final = 2
MIN_READY_REPORTS_WITHOUT_ANSWERS: Final = 6
RAMP_DOUBLING_SECONDS: Final = 1.0
# A report may describe the engine as it was up to this long before.
MAX_REPORT_LAG_SECONDS: Final = 3.0
NEVER: Final = clock.MonotonicTime(-math.inf)


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedRequest:
    """Describe a request without a caller that may still be running."""

    abandoned_at: clock.MonotonicTime
    ends_by: clock.MonotonicTime


@dataclasses.dataclass
class ColdStartState:
    """Track the record, slots and engine reports of one endpoint.

    Old requests are those that any router sent before `record_since`.
    """

    record: cold_start_records.ColdStartRecord
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
        """Return whether new requests may use the leased slots."""
        if now >= self.lease_expires_at:
            return False
        old_requests_end_at = self.record_since + self.max_request_seconds
        return self.has_no_old_requests or now >= old_requests_end_at

    def count_open_requests(
        self, in_flight: int, now: clock.MonotonicTime
    ) -> int:
        """Return how many requests of this router may be running there."""
        self.abandoned = [x for x in self.abandoned if x.ends_by > now]
        return in_flight + len(self.abandoned)

    def add_abandoned(self, now: clock.MonotonicTime) -> None:
        """Keep occupying the slot of a request that may still run."""
        ends_by = clock.MonotonicTime(now + self.max_request_seconds)
        self.abandoned.append(AbandonedRequest(now, ends_by))

    def replace_record(
        self,
        record: cold_start_records.ColdStartRecord,
        now: clock.MonotonicTime,
    ) -> None:
        """Replace the record by a newer one and reset the counts."""
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
        """Apply an engine report; ignore it if it may predate the record.

        If no more requests run than this router has in flight, requests
        abandoned longer ago than the report's lag have ended.
        """
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
        """Return whether the cold start has ended.

        A plain service has no engines to poll, so complete answers alone
        end it.  A model service needs ready reports as well, or more ready
        reports without any answers.
        """
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
        """Return the concurrency allowed to all routers together.

        It starts at the cold limit and doubles up to the capacity.
        """
        doublings = (now - self.ramp_started_at) / RAMP_DOUBLING_SECONDS
        if doublings >= math.log2(service.capacity / service.cold_limit):
            return service.capacity
        return service.cold_limit * math.pow(2.0, doublings)
