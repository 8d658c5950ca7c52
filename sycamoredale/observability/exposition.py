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
CONTENT_TYPE: Final = "text/plain; version=0.0.4"


@dataclasses.dataclass
class MetricRegistry:
    """Collect counters by name and label, and times by organisation."""

    counts: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    times: histograms.HistogramSet = dataclasses.field(
        default_factory=histograms.HistogramSet
    )

    def count(self, name: str, kind: str) -> None:
        """Increment a counter; `kind` is the value of its label."""
        self.counts[name, kind] += 1

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

    def render(self) -> str:
        """Return all metrics in the exposition format."""
        return "\n".join([*self._render_counters(), *self._render_times(), ""])

    def _render_counters(self) -> collections.abc.Iterator[str]:
        for (name, kind), value in sorted(self.counts.items()):
            yield f'{PREFIX}_{name}_total{{kind="{kind}"}} {value}'

    def _render_times(self) -> collections.abc.Iterator[str]:
        for summary in self.times.summaries():
            name = f"{PREFIX}_call_{summary.measure.value}_seconds"
            labels = (
                f'organisation="{summary.organisation}",'
                f'route="{summary.group}"'
            )
            yield f"{name}_count{{{labels}}} {summary.count}"
            for quantile in summary.quantiles:
                label = f'quantile="{quantile.percentile / 100:g}"'
                yield f"{name}{{{labels},{label}}} {quantile.seconds:g}"
