"""Probe instances for their state, concurrently and with a timeout."""

import collections.abc
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.engines import model_engine
from sycamoredale.engines import orders
from sycamoredale import errors
from sycamoredale.groups import health
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import leases
from sycamoredale.object_api import instances

PROBE_TIMEOUT_SECONDS: Final = 1.0
RETRY_SECONDS: Final = 0.1


@dataclasses.dataclass
class Prober:
    """Probe engines by their report, plain services by a connection."""

    engines: model_engine.ModelEngineClient
    read_clock: leases.ReadClock = clock.monotonic
    retry_seconds: float = RETRY_SECONDS

    async def probe_all(
        self,
        targets: collections.abc.Iterable[instances.Instance],
        health_table: health.HealthTable,
    ) -> None:
        """Probe the instances and record the results."""
        async with curio.TaskGroup() as group:
            for instance in targets:
                await group.spawn(self._probe, instance, health_table)

    async def responds(self, instance: instances.Instance) -> bool:
        """Return whether one instance answers now."""
        try:
            await self._ask(instance, fresh=True)
        except errors.SycamoredaleError:
            return False
        return True

    async def _probe(
        self, instance: instances.Instance, health_table: health.HealthTable
    ) -> None:
        """Probe once, and again over a new connection if that fails."""
        await self._probe_once(instance, health_table, fresh=False)
        if health_table.by_id[instance.id].failures:
            await curio.sleep(self.retry_seconds)
            await self._probe_once(instance, health_table, fresh=True)

    async def _probe_once(
        self,
        instance: instances.Instance,
        health_table: health.HealthTable,
        fresh: bool,
    ) -> None:
        probed_at = self.read_clock()
        try:
            state = await self._ask(instance, fresh)
        except errors.LocalFailure:
            # It says nothing of the instance.
            return
        except errors.SycamoredaleError as error:
            connection_refused = isinstance(
                error.__cause__, ConnectionRefusedError
            )
            health_table.record_failure(
                instance.id, self.read_clock(), connection_refused
            )
        else:
            health_table.record_report(instance.id, state, probed_at)

    async def _ask(
        self, instance: instances.Instance, fresh: bool
    ) -> orders.EngineState | None:
        address = messages.parse_address(instance.address)
        if instance.runs != instances.ENGINE:
            connection = await client.open_connection(address)
            await connection.close()
            return None
        return await self.engines.state(address, PROBE_TIMEOUT_SECONDS, fresh)
