"""Record histograms, counters and timers of a router's calls."""

import dataclasses
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale.observability import histograms
from sycamoredale.observability import metrics
from sycamoredale.requests import call as call_module

PATH: Final = "/peer/histograms"


@dataclasses.dataclass
class RequestObserver:
    """Record times by organisation, service and priority class."""

    sink: metrics.Sink = dataclasses.field(default_factory=metrics.NullSink)
    histogram_set: histograms.HistogramSet = dataclasses.field(
        default_factory=histograms.HistogramSet
    )

    def record_admission(self, call: call_module.Call, seconds: float) -> None:
        """Record how many seconds a call was queued."""
        self._record(call, histograms.Measure.QUEUE, seconds)

    def record_answer(
        self,
        call: call_module.Call,
        started_at: clock.MonotonicTime,
        first_byte_at: clock.MonotonicTime | None,
        now: clock.MonotonicTime,
    ) -> None:
        """Record the time to the first byte and the total time."""
        if first_byte_at is not None:
            seconds = first_byte_at - started_at
            self._record(call, histograms.Measure.FIRST_BYTE, seconds)
        self._record(call, histograms.Measure.TOTAL, now - started_at)
        self.sink.count(f"answered.{call.service.name}")

    def record_refusal(self, code: str) -> None:
        """Count a refused call by its error code."""
        self.sink.count(f"refused.{code}")

    async def answer_peer(self, body: bytes) -> bytes:
        """Return all histograms of this router as JSON."""
        del body
        return msgspec.json.encode(list(self.histogram_set.encoded()))

    def _record(
        self,
        call: call_module.Call,
        measure: histograms.Measure,
        seconds: float,
    ) -> None:
        group = f"{call.service.name}/{call.priority.value}"
        key = histograms.HistogramKey(call.organisation, group, measure)
        self.histogram_set.record(key, seconds)
        self.sink.time(f"{measure.value}.{call.service.name}", seconds)
