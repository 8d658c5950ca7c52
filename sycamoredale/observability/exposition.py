"""Collect the metrics of a daemon and render them as text.

The text has the Prometheus exposition format: a name, labels and a value in
each line.
"""

import collections
import collections.abc
import dataclasses
from typing import Final

from sycamoredale import ids
from sycamoredale.observability import histograms

PREFIX: Final = "sycamoredale"
_NO_ORGANISATION: Final = ids.OrganisationName("")
# Served at the port of the metrics, beside them.
EXPLANATION_PATH: Final = "/explain"
CONTENT_TYPE: Final = "text/plain; version=0.0.4"


@dataclasses.dataclass
class MetricRegistry:
    """Collect counters and gauges by name and label, and times.

    Times of calls are kept by organisation, those of changes by kind.
    """

    counts: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    gauges: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    times: histograms.HistogramSet = dataclasses.field(
        default_factory=histograms.HistogramSet
    )
    change_delays: histograms.HistogramSet = dataclasses.field(
        default_factory=histograms.HistogramSet
    )

    def set_gauge(self, name: str, kind: str, value: float) -> None:
        """Set a gauge; `kind` is the value of its label."""
        self.gauges[name, kind] = value

    def count(self, name: str, kind: str, amount: int = 1) -> None:
        """Increment a counter; `kind` is the value of its label."""
        self.counts[name, kind] += amount

    def time(
        self,
        organisation: ids.OrganisationName | None,
        route: str,
        measure: histograms.Measure,
        seconds: float,
    ) -> None:
        """Record a time of a call; without organisation as "(public)"."""
        caller = organisation or ids.OrganisationName("(public)")
        self.times.record(
            histograms.HistogramKey(caller, route, measure), seconds
        )

    def time_change(self, kind: str, seconds: float) -> None:
        """Record how long a change of a kind was confirmed at most."""
        key = histograms.HistogramKey(
            _NO_ORGANISATION, kind, histograms.Measure.CHANGE_DELAY
        )
        self.change_delays.record(key, seconds)

    def render(self) -> str:
        """Return all metrics in the exposition format."""
        lines = [
            *self._render_counters(),
            *self._render_gauges(),
            *self._render_times(),
            *self._render_change_delays(),
        ]
        return "\n".join([*lines, ""])

    def _render_counters(self) -> collections.abc.Iterator[str]:
        for (name, kind), value in sorted(self.counts.items()):
            yield f'{PREFIX}_{name}_total{{kind="{kind}"}} {value}'

    def _render_gauges(self) -> collections.abc.Iterator[str]:
        for (name, kind), value in sorted(self.gauges.items()):
            yield f'{PREFIX}_{name}{{kind="{kind}"}} {value:g}'

    def _render_times(self) -> collections.abc.Iterator[str]:
        for summary in self.times.summaries():
            name = f"{PREFIX}_call_{summary.measure.value}_seconds"
            labels = (
                f'organisation="{summary.organisation}",'
                f'route="{summary.group}"'
            )
            yield from _render_summary(name, labels, summary)

    def _render_change_delays(self) -> collections.abc.Iterator[str]:
        name = f"{PREFIX}_change_delay_seconds"
        for summary in self.change_delays.summaries():
            yield from _render_summary(
                name, f'kind="{summary.group}"', summary
            )


def _render_summary(
    name: str, labels: str, summary: histograms.HistogramSummary
) -> collections.abc.Iterator[str]:
    yield f"{name}_count{{{labels}}} {summary.count}"
    for quantile in summary.quantiles:
        label = f'quantile="{quantile.percentile / 100:g}"'
        yield f"{name}{{{labels},{label}}} {quantile.seconds:g}"
