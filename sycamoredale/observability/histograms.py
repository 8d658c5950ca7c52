"""Record times in a histogram for each organisation and class.

HDR histograms cover times from 1 ms to 10 minutes with two significant
digits. The error of the percentiles and of the maximum is within 1 %, and
no samples are stored. The number of histograms is limited; organisations
beyond the limit share the histograms of one placeholder organisation.
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
OVERFLOW_ORGANISATION: Final = ids.OrganisationName("(others)")
PERCENTILES: Final = (50.0, 95.0, 99.0, 100.0)


class Measure(enum.Enum):
    """Identify which time a histogram records."""

    QUEUE = "queue"
    FIRST_BYTE = "first_byte"
    TOTAL = "total"
    CHANGE_DELAY = "change_delay"


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramKey:
    """Identify a histogram; `group` is a service and a priority class."""

    organisation: ids.OrganisationName
    group: str
    measure: Measure


class Quantile(msgspec.Struct, frozen=True):
    """Give the value of one percentile in seconds."""

    percentile: float
    seconds: float


class EncodedHistogram(msgspec.Struct, frozen=True):
    """Encode a histogram for another process, in the HDR format."""

    organisation: ids.OrganisationName
    group: str
    measure: Measure
    counts: str


class HistogramSummary(msgspec.Struct, frozen=True):
    """Give the count and the percentiles of a histogram."""

    organisation: ids.OrganisationName
    group: str
    measure: Measure
    count: int
    quantiles: list[Quantile]


@dataclasses.dataclass
class HistogramSet:
    """Record times and merge histograms by key."""

    histogram_by_key: dict[HistogramKey, histogram.HdrHistogram] = (
        dataclasses.field(default_factory=dict)
    )

    def record(self, key: HistogramKey, seconds: float) -> None:
        """Record one time, limited to the range of the histograms."""
        microseconds = int(seconds * 1_000_000)
        clamped = min(
            max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS
        )
        self._get_or_create(key).record_value(clamped)

    def encoded(self) -> collections.abc.Iterator[EncodedHistogram]:
        """Yield each histogram in a form that another set can merge."""
        for key, recorded in self.histogram_by_key.items():
            counts = recorded.encode().decode("ascii")
            yield EncodedHistogram(
                key.organisation, key.group, key.measure, counts
            )

    def merge(self, encoded: EncodedHistogram) -> None:
        """Add the counts of an encoded histogram.

        Raises ValueError if they can't be decoded.
        """
        key = HistogramKey(
            encoded.organisation, encoded.group, encoded.measure
        )
        try:
            other = histogram.HdrHistogram.decode(encoded.counts)
        except Exception as error:
            raise ValueError(
                f"histogram of organisation {encoded.organisation!r} is "
                f"malformed: {error}"
            ) from error
        self._get_or_create(key).add(other)

    def summaries(self) -> collections.abc.Iterator[HistogramSummary]:
        """Yield a summary of each histogram."""
        for key, recorded in self.histogram_by_key.items():
            yield HistogramSummary(
                key.organisation,
                key.group,
                key.measure,
                recorded.get_total_count(),
                [_quantile(recorded, p) for p in PERCENTILES],
            )

    def _get_or_create(self, key: HistogramKey) -> histogram.HdrHistogram:
        existing = self.histogram_by_key.get(key)
        if existing is not None:
            return existing
        if len(self.histogram_by_key) >= MAX_HISTOGRAMS:
            key = dataclasses.replace(key, organisation=OVERFLOW_ORGANISATION)
        return self.histogram_by_key.setdefault(key, _new_histogram())


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
    )


def _quantile(recorded: histogram.HdrHistogram, percentile: float) -> Quantile:
    microseconds = recorded.get_value_at_percentile(percentile)
    return Quantile(percentile, microseconds / 1_000_000)
