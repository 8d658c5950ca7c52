"""Ask every registered daemon what it has in force."""

import collections.abc
import dataclasses
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale.config import model
from sycamoredale.config import store as config_store
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import registry
from sycamoredale.membership import status
from sycamoredale.membership import view
from sycamoredale.platform import objects

ASK_SECONDS: Final = 2.0
ASKED_AT_ONCE: Final = 32
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
    stored = await store.get(model.KIND, model.POINTER_NAME)
    generation = ids.Generation(0)
    if stored is not None:
        generation = config_store.decode_pointer(stored).generation
    listing = await store.list(view.DAEMON_KIND)
    registrations = [
        msgspec.json.decode(stored.value, type=registry.Registration)
        for stored in listing.objects
    ]
    reports = await _Asking(client.Pool()).ask_all(registrations)
    found = [
        _line(registration, generation, reports.get(registration.id))
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


@dataclasses.dataclass
class _Asking:
    pool: client.Pool

    async def ask_all(
        self, registrations: collections.abc.Sequence[registry.Registration]
    ) -> dict[ids.DaemonId, status.DaemonStatus]:
        found: dict[ids.DaemonId, status.DaemonStatus] = {}
        for start in range(0, len(registrations), ASKED_AT_ONCE):
            async with curio.TaskGroup() as group:
                for registration in registrations[
                    start : start + ASKED_AT_ONCE
                ]:
                    await group.spawn(self._ask, registration, found)
        return found

    async def _ask(
        self,
        registration: registry.Registration,
        found: dict[ids.DaemonId, status.DaemonStatus],
    ) -> None:
        address = messages.parse_address(registration.address)
        request = messages.Request("POST", status.PATH)
        try:
            response = await self.pool.call(address, request, ASK_SECONDS)
            report = msgspec.json.decode(
                response.body, type=status.DaemonStatus
            )
        except (errors.SycamoredaleError, msgspec.MsgspecError):
            return  # The line of a daemon without a report says so.
        if report.daemon == registration.id:
            found[registration.id] = report


def _line(
    registration: registry.Registration,
    generation: ids.Generation,
    report: status.DaemonStatus | None,
) -> Line:
    return Line(
        registration.id,
        registration.zone,
        registration.role,
        report is not None and report.generation >= generation,
        report,
    )
