"""Query the configuration that each registered daemon has in force."""

import collections.abc
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale.commands import daemon_requests
from sycamoredale.config import model
from sycamoredale.config import store as config_store
from sycamoredale import decoding
from sycamoredale import ids
from sycamoredale.membership import registry
from sycamoredale.membership import status
from sycamoredale.membership import view
from sycamoredale.object_api import objects

POLL_INTERVAL_SECONDS: Final = 0.2


class DaemonEntry(msgspec.Struct, frozen=True):
    """Describe one daemon; `report` is None if it didn't answer."""

    daemon: ids.DaemonId
    zone: ids.ZoneName
    role: view.Role
    in_force: bool
    report: status.DaemonStatus | None


class FleetReport(msgspec.Struct, frozen=True):
    """Give the accepted generation and the state of each daemon."""

    generation: ids.Generation
    daemons: list[DaemonEntry]


async def read(store: objects.ObjectStore) -> FleetReport:
    """Return the report on all registered daemons.

    Raises StoreUnavailable.
    """
    stored = await store.get(model.POINTER_KIND, model.POINTER_NAME)
    generation = ids.Generation(0)
    if stored is not None:
        generation = config_store.decode_pointer(stored).generation
    registrations = await daemon_requests.list_registrations(store)
    bodies = await daemon_requests.request_all(registrations, status.PATH)
    entries = [
        _build_entry(
            registration,
            generation,
            _decode_status(bodies.get(registration.id)),
        )
        for registration in registrations
    ]
    return FleetReport(
        generation,
        sorted(entries, key=lambda entry: (entry.zone, entry.daemon)),
    )


async def wait_until_in_force(
    store: objects.ObjectStore, generation: ids.Generation, seconds: float
) -> FleetReport:
    """Wait until a generation is in force everywhere or time is up.

    Returns the last report. Raises StoreUnavailable.
    """
    deadline = clock.monotonic() + seconds
    while True:
        report = await read(store)
        if in_force_everywhere(report) and report.generation >= generation:
            return report
        if clock.monotonic() > deadline:
            return report
        await curio.sleep(POLL_INTERVAL_SECONDS)


def in_force_everywhere(report: FleetReport) -> bool:
    """Return whether all daemons have the accepted generation in force."""
    return all(entry.in_force for entry in report.daemons)


def format_lines(report: FleetReport) -> collections.abc.Iterator[str]:
    """Yield the report as lines of text."""
    in_force_count = sum(entry.in_force for entry in report.daemons)
    yield (
        f"generation {report.generation} is accepted and in force in "
        f"{in_force_count} of {len(report.daemons)} daemons"
    )
    for entry in report.daemons:
        name = f"{entry.zone:<12} {entry.role.value:<10} {entry.daemon:<20}"
        if entry.report is None:
            yield f"  {name} did not answer"
            continue
        yield (
            f"  {name} generation {entry.report.generation}, "
            f"{entry.report.standing.value}, "
            f"last contact {entry.report.age_seconds:.1f} s ago, "
            f"sees {entry.report.daemons_alive} daemons"
        )


def _decode_status(body: bytes | None) -> status.DaemonStatus | None:
    try:
        return decoding.decode_json(body or b"", status.DaemonStatus)
    except msgspec.DecodeError:
        return None  # The report of the fleet shows this daemon as silent.


def _build_entry(
    registration: registry.Registration,
    generation: ids.Generation,
    report: status.DaemonStatus | None,
) -> DaemonEntry:
    if report is not None and report.daemon != registration.id:
        report = None  # Another daemon now uses the address.
    return DaemonEntry(
        registration.id,
        registration.zone,
        registration.role,
        report is not None and report.generation >= generation,
        report,
    )
