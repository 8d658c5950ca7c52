"""Define the command that prints the merged histograms of all routers."""

import collections.abc
from typing import Final

import click
import curio
import msgspec

from sycamoredale.commands import daemon_requests
from sycamoredale.commands import exit_codes
from sycamoredale.commands import parameters
from sycamoredale import decoding
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.membership import view
from sycamoredale.object_api import objects
from sycamoredale.observability import histograms
from sycamoredale.observability import request_observer

HEADER: Final = (
    f"{'organisation':<20} {'service/class':<28} {'measure':<11} "
    f"{'count':>8} {'p50':>9} {'p95':>9} {'p99':>9} {'max':>9}"
)


class HistogramReport(msgspec.Struct, frozen=True):
    """Contain the merged histograms of the routers that answered."""

    routers: int
    answered: int
    histograms: list[histograms.HistogramSummary]


@click.command("histogram")
@parameters.PLATFORM
@parameters.JSON
@click.option(
    "--organisation", default="", help="Show this organisation only."
)
def histogram(
    platform: messages.Address, as_json: bool, organisation: str
) -> None:
    """Show times by organisation, service and priority class."""
    with exit_codes.report_errors(as_json):
        report = curio.run(read, platform, organisation)
        parameters.print_report(
            report, "\n".join(format_lines(report)), as_json
        )


async def read(
    platform: messages.Address, organisation: str
) -> HistogramReport:
    """Return the report, sorted by organisation, service and measure.

    Raises StoreUnavailable.
    """
    store = objects.ObjectStore(platform, client.Pool())
    routers = [
        registration
        for registration in await daemon_requests.list_registrations(store)
        if registration.role is view.Role.ROUTER
    ]
    bodies = await daemon_requests.request_all(routers, request_observer.PATH)
    merged = histograms.HistogramSet()
    answered = sum(_merge_histograms(body, merged) for body in bodies.values())
    summaries = [
        summary
        for summary in merged.summaries()
        if organisation in ("", summary.organisation)
    ]
    summaries.sort(key=lambda s: (s.organisation, s.group, s.measure.value))
    return HistogramReport(len(routers), answered, summaries)


def format_lines(report: HistogramReport) -> collections.abc.Iterator[str]:
    """Yield the report as lines of text; times are in seconds."""
    yield f"{report.answered} of {report.routers} routers answered"
    yield HEADER
    for summary in report.histograms:
        times = " ".join(f"{q.seconds:>9.3f}" for q in summary.quantiles)
        yield (
            f"{summary.organisation:<20} {summary.group:<28} "
            f"{summary.measure.value:<11} {summary.count:>8} {times}"
        )


def _merge_histograms(body: bytes, merged: histograms.HistogramSet) -> bool:
    """Merge the histograms of one router; return whether they are valid.

    All of them are decoded before any is merged, so that the histograms of
    a router are either merged completely or not at all.
    """
    try:
        encoded_histograms = decoding.decode_json(
            body, list[histograms.EncodedHistogram]
        )
        decoded = histograms.HistogramSet()
        for encoded in encoded_histograms:
            decoded.merge(encoded)
    except (msgspec.DecodeError, ValueError):
        return False
    for encoded in encoded_histograms:
        merged.merge(encoded)
    return True
