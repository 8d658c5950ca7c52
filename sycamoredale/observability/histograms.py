"""Keep a histogram of times for each organisation and class.

The HDR histograms hold times from 1 ms to 10 minutes with two significant
digits, so that p99 and the maximum stay exact enough without keeping
samples.  The number of histograms is bounded; organisations past the
bound share one.
"""

import collections.abc
import dataclasses
import enum
from typing import Final

from hdrh import histogram
import msgspec

from sycamoredale import ids

LOWEST_MICROSECONDS: Final = 1_000
HIGHEST_MICROSECONDS: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
MAX_HISTOGRAMS: Final = 400
OTHERS: Final = ids.OrganisationName("(others)")
PERCENTILES: Final = (50.0, 95.0, 99.0, 100.0)


class Measure(enum.Enum):
    """Name what a histogram shows."""

    QUEUE = "queue"
    FIRST_BYTE = "first_byte"
    TOTAL = "total"


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Name one histogram; `group` is a service and a priority class."""

    organisation: ids.OrganisationName
    group: str
    measure: Measure


class Quantile(msgspec.Struct, frozen=True):
    """Hold one percentile in seconds."""

    percentile: float
    seconds: float


class Encoded(msgspec.Struct, frozen=True):
    """Carry one histogram to another process, in the HDR encoding."""

    organisation: ids.OrganisationName
    group: str
    measure: Measure
    counts: str


class Summary(msgspec.Struct, frozen=True):
    """Summarise one histogram."""

    organisation: ids.OrganisationName
    group: str
    measure: Measure
    count: int
    quantiles: list[Quantile]


@dataclasses.dataclass
class HistogramSet:
    """Hold the histograms by key."""

    by_key: dict[Key, histogram.HdrHistogram] = dataclasses.field(
        default_factory=dict
    )

    def record(self, key: Key, seconds: float) -> None:
        """Count one time under a key."""
        microseconds = int(seconds * 1_000_000)
        bounded = min(
            max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS
        )
        self._histogram(key).record_value(bounded)

    def encoded(self) -> collections.abc.Iterator[Encoded]:
        """Yield each histogram in a form that another set can add."""
        for key, values in self.by_key.items():
            counts = values.encode().decode("ascii")
            yield Encoded(key.organisation, key.group, key.measure, counts)

    def add(self, encoded: Encoded) -> None:
        """Add the counts of another set; raise ValueError."""
        key = Key(encoded.organisation, encoded.group, encoded.measure)
        try:
            other = histogram.HdrHistogram.decode(encoded.counts)
        except Exception as error:
            raise ValueError(
                f"histogram of organisation {encoded.organisation!r} is "
                f"malformed: {error}"
            ) from error
        self._histogram(key).add(other)

    def summaries(self) -> collections.abc.Iterator[Summary]:
        """Yield a summary of each histogram."""
        for key, values in self.by_key.items():
            yield Summary(
                key.organisation,
                key.group,
                key.measure,
                values.get_total_count(),
                [_quantile(values, p) for p in PERCENTILES],
            )

    def _histogram(self, key: Key) -> histogram.HdrHistogram:
        found = self.by_key.get(key)
        if found is not None:
            return found
        if len(self.by_key) >= MAX_HISTOGRAMS:
            key = dataclasses.replace(key, organisation=OTHERS)
        return self.by_key.setdefault(key, _new_histogram())


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
    )


def _quantile(values: histogram.HdrHistogram, percentile: float) -> Quantile:
    microseconds = values.get_value_at_percentile(percentile)
    return Quantile(percentile, microseconds / 1_000_000)
