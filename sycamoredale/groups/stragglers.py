"""Detect instances whose steps take much longer than those of their peers.

The duration of a step is compared with the median of all instances that run
the same version.  It must stay long for several reports in a row.
"""

import collections
import collections.abc
import dataclasses
import statistics
from typing import Final

from sycamoredale.engines import orders
from sycamoredale import ids

SLOW_FACTOR: Final = 2.0
REPORTS_UNTIL_SLOW: Final = 5
MIN_SAMPLE: Final = 3


@dataclasses.dataclass
class StragglerDetector:
    """Count consecutive slow reports of each instance."""

    slow_reports_by_id: collections.Counter[ids.InstanceId] = (
        dataclasses.field(default_factory=collections.Counter)
    )

    def update(
        self, states: collections.abc.Iterable[orders.EngineState]
    ) -> frozenset[ids.InstanceId]:
        """Record the reports of one round and return the stragglers."""
        by_version = collections.defaultdict(list)
        for state in states:
            if state.step_seconds > 0 and state.group is not None:
                by_version[(state.service, state.version)].append(state)
        for sample in by_version.values():
            self._compare(sample)
        return frozenset(
            instance
            for instance, reports in self.slow_reports_by_id.items()
            if reports >= REPORTS_UNTIL_SLOW
        )

    def _compare(self, sample: list[orders.EngineState]) -> None:
        if len(sample) < MIN_SAMPLE:
            return
        median = statistics.median(s.step_seconds for s in sample)
        for state in sample:
            if state.step_seconds > SLOW_FACTOR * median:
                self.slow_reports_by_id[state.instance] += 1
            else:
                self.slow_reports_by_id.pop(state.instance, None)
