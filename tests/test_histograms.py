"""Test merging, precision and the limit of the number of histograms."""

import hypothesis
from hypothesis import strategies
import pytest

from sycamoredale import ids
from sycamoredale.observability import histograms

KEY = histograms.HistogramKey(
    ids.OrganisationName("concierge"),
    "assistant/interactive",
    histograms.Measure.TOTAL,
)
TIMES = strategies.lists(strategies.floats(0.001, 500), max_size=30)


def _recorded(times: list[float]) -> histograms.HistogramSet:
    recorded = histograms.HistogramSet()
    for seconds in times:
        recorded.record(KEY, seconds)
    return recorded


@hypothesis.given(TIMES, TIMES)
def test_merged_histograms_equal_one_recorded_histogram(
    first: list[float], second: list[float]
) -> None:
    merged = histograms.HistogramSet()
    for part in (first, second):
        for encoded in _recorded(part).encoded():
            merged.merge(encoded)
    recorded_together = _recorded(first + second)
    assert list(merged.summaries()) == list(recorded_together.summaries())


def test_quantiles_are_within_one_percent() -> None:
    times = [n / 100 for n in range(1, 101)]
    (summary,) = _recorded(times).summaries()
    shown = {q.percentile: q.seconds for q in summary.quantiles}
    assert shown[50.0] == pytest.approx(0.50, rel=0.01)
    assert shown[99.0] == pytest.approx(0.99, rel=0.01)


def test_organisations_past_the_limit_share_one_histogram() -> None:
    recorded = histograms.HistogramSet()
    for number in range(histograms.MAX_HISTOGRAMS + 50):
        name = ids.OrganisationName(f"organisation-{number}")
        key = histograms.HistogramKey(name, KEY.group, KEY.measure)
        recorded.record(key, 0.1)
    assert len(recorded.histogram_by_key) == histograms.MAX_HISTOGRAMS + 1
    others = histograms.HistogramKey(
        histograms.OVERFLOW_ORGANISATION, KEY.group, KEY.measure
    )
    assert recorded.histogram_by_key[others].get_total_count() == 50


def test_malformed_counts_are_reported_with_the_organisation() -> None:
    encoded = histograms.EncodedHistogram(
        KEY.organisation, KEY.group, KEY.measure, "not counts"
    )
    with pytest.raises(ValueError, match="'concierge'"):
        histograms.HistogramSet().merge(encoded)
