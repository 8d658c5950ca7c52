"""Ask every registered daemon what it has in force."""

import collections.abc
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale.commands import asking
from sycamoredale.config import model
from sycamoredale.config import store as config_store
from sycamoredale import ids
from sycamoredale.membership import registry
from sycamoredale.membership import status
from sycamoredale.membership import view
from sycamoredale.object_api import objects

AGAIN_SECONDS: Final = 0.2


class Line(msgspec.Struct, frozen=True):
    """Hold what is known of one daemon; no report if it is silent."""

    daemon: ids.DaemonId
    zone: ids.ZoneName
    role: view.Role
    in_force: bool
    report: status.DaemonStatus | None


class Report(msgspec.Struct, frozen=True):
    """Hold the accepted generation and what each daemon has."""

    generation: ids.Generation
    daemons: list[Line]


async def read(store: objects.ObjectStore) -> Report:
    """Return the report on the whole fleet; raise StoreUnavailable."""
    stored = await store.get(model.POINTER_KIND, model.POINTER_NAME)
    generation = ids.Generation(0)
    if stored is not None:
        generation = config_store.decode_pointer(stored).generation
    registrations = await asking.registered(store)
    bodies = await asking.ask_all(registrations, status.PATH)
    found = [
        _line(registration, generation, _decode(bodies.get(registration.id)))
        for registration in registrations
    ]
    return Report(generation, sorted(found, key=lambda d: (d.zone, d.daemon)))


async def wait(
    store: objects.ObjectStore, generation: ids.Generation, seconds: float
) -> Report:
    """Return the report once all have a generation, or at the end."""
    deadline = clock.monotonic() + seconds
    while True:
        report = await read(store)
        if everywhere(report) and report.generation >= generation:
            return report
        if clock.monotonic() > deadline:
            return report
        await curio.sleep(AGAIN_SECONDS)


def everywhere(report: Report) -> bool:
    """Tell whether every daemon has the accepted generation in force."""
    return all(line.in_force for line in report.daemons)


def lines(report: Report) -> collections.abc.Iterator[str]:
    """Yield the report in lines for operators."""
    have = sum(line.in_force for line in report.daemons)
    yield (
        f"generation {report.generation} is accepted and in force in "
        f"{have} of {len(report.daemons)} daemons"
    )
    for line in report.daemons:
        name = f"{line.zone:<12} {line.role.value:<10} {line.daemon:<20}"
        if line.report is None:
            yield f"  {name} did not answer"
            continue
        yield (
            f"  {name} generation {line.report.generation}, "
            f"{line.report.standing.value}, "
            f"last contact {line.report.age_seconds:.1f} s ago, "
            f"sees {line.report.daemons_alive} daemons"
        )


def _decode(body: bytes | None) -> status.DaemonStatus | None:
    try:
        return msgspec.json.decode(body or b"", type=status.DaemonStatus)
    except msgspec.DecodeError:
        return None  # The line of a daemon without a report says so.


def _line(
    registration: registry.Registration,
    generation: ids.Generation,
    report: status.DaemonStatus | None,
) -> Line:
    if report is not None and report.daemon != registration.id:
        report = None  # Another daemon has taken over the address.
    return Line(
        registration.id,
        registration.zone,
        registration.role,
        report is not None and report.generation >= generation,
        report,
    )
