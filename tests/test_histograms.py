"""Test that histograms add up over routers and stay bounded."""

import hypothesis
from hypothesis import strategies
import pytest

from sycamoredale import ids
from sycamoredale.observability import histograms

KEY = histograms.Key(
    ids.OrganisationName("concierge"),
    "assistant/interactive",
    histograms.Measure.TOTAL,
)
TIMES = strategies.lists(strategies.floats(0.001, 500), max_size=30)


def _filled(times: list[float]) -> histograms.HistogramSet:
    filled = histograms.HistogramSet()
    for seconds in times:
        filled.record(KEY, seconds)
    return filled


@hypothesis.given(TIMES, TIMES)
def test_adding_equals_recording_together(
    first: list[float], second: list[float]
) -> None:
    merged = histograms.HistogramSet()
    for part in (first, second):
        for encoded in _filled(part).encoded():
            merged.add(encoded)
    together = _filled(first + second)
    assert list(merged.summaries()) == list(together.summaries())


def test_quantiles_are_within_a_hundredth() -> None:
    times = [n / 100 for n in range(1, 101)]
    (summary,) = _filled(times).summaries()
    shown = {q.percentile: q.seconds for q in summary.quantiles}
    assert shown[50.0] == pytest.approx(0.50, rel=0.01)
    assert shown[99.0] == pytest.approx(0.99, rel=0.01)


def test_organisations_past_the_bound_share_one() -> None:
    filled = histograms.HistogramSet()
    for number in range(histograms.MAX_HISTOGRAMS + 50):
        name = ids.OrganisationName(f"organisation-{number}")
        key = histograms.Key(name, KEY.group, KEY.measure)
        filled.record(key, 0.1)
    assert len(filled.by_key) == histograms.MAX_HISTOGRAMS + 1
    others = histograms.Key(histograms.OTHERS, KEY.group, KEY.measure)
    assert filled.by_key[others].get_total_count() == 50


def test_malformed_counts_name_the_organisation() -> None:
    encoded = histograms.Encoded(
        KEY.organisation, KEY.group, KEY.measure, "not counts"
    )
    with pytest.raises(ValueError, match="'concierge'"):
        histograms.HistogramSet().add(encoded)
