"""Run a controller that forms groups greedily, for comparison."""

import sys
from typing import Final
import uuid

import curio
import msgspec

from benchmarks import naive_placement
from sycamoredale.config import model as config_model
from sycamoredale.config import store as config_store
from sycamoredale.daemons import signals
from sycamoredale.engines import model_engine
from sycamoredale.engines import orders
from sycamoredale import errors
from sycamoredale.groups import model
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import instances
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

INTERVAL_SECONDS: Final = 0.5
LOG: Final = logs.get("controller")


class Controller:
    """Form groups greedily in all domains."""

    def __init__(self, platform: messages.Address) -> None:
        """Build the components; nothing runs before `run`."""
        pool = client.Pool()
        self._store = objects.ObjectStore(platform, pool)
        self._list = instances.InstanceList(platform, pool)
        self._engines = model_engine.ModelEngineClient(pool)

    async def run(self) -> None:
        """Run rounds until SIGTERM or SIGINT."""
        stop = signals.StopSignal()
        await curio.spawn(self._run_rounds, daemon=True)
        LOG.info("controller_started")
        await stop.wait()
        LOG.info("controller_stopped")

    async def _run_rounds(self) -> None:
        while True:
            try:
                await self._run_round()
            except errors.SycamoredaleError as error:
                LOG.warning("round_failed", reason=error.message)
            await curio.sleep(INTERVAL_SECONDS)

    async def _run_round(self) -> None:
        accepted = await config_store.read(self._store)
        listed = await self._list.read()
        stored = await self._store.list(model.ASSIGNMENT_KIND)
        by_domain = {
            ids.DomainName(o.name): (o.version, _decode(o))
            for o in stored.objects
        }
        configuration = accepted.configuration
        for domain in {i.domain for i in listed}:
            version, assignment = by_domain.get(
                domain, (objects.ABSENT_VERSION, model.Assignment(domain))
            )
            others = [a for _, a in by_domain.values() if a.domain != domain]
            planned = naive_placement.plan(
                configuration, listed, assignment, others
            )
            if planned != assignment:
                version = await self._write(planned, version)
                by_domain[domain] = (version, planned)
            confirmed = await self._confirm(configuration, planned)
            if confirmed != planned:
                version = await self._write(confirmed, version)
                by_domain[domain] = (version, confirmed)

    async def _confirm(
        self,
        configuration: config_model.Configuration,
        assignment: model.Assignment,
    ) -> model.Assignment:
        groups = [
            await self._confirm_group(configuration, group)
            for group in assignment.groups
        ]
        return msgspec.structs.replace(assignment, groups=groups)

    async def _confirm_group(
        self, configuration: config_model.Configuration, group: model.Group
    ) -> model.Group:
        if group.state is not model.GroupState.FORMING:
            return group
        kind = {s.name: s.kind for s in configuration.services}.get(
            group.service
        )
        if kind is config_model.ServiceKind.PLAIN:
            return _ready(group)
        phases = [
            await self._order_member(group, member) for member in group.members
        ]
        if all(p in (orders.Phase.COLD, orders.Phase.READY) for p in phases):
            return _ready(group)
        return group

    async def _order_member(
        self, group: model.Group, member: model.Member
    ) -> orders.Phase:
        address = messages.parse_address(member.address)
        state = await self._engines.state(address)
        if state.epoch == group.epoch and state.group == group.id:
            return state.phase
        order = orders.Order(
            action=orders.Action.LOAD,
            epoch=group.epoch,
            group=group.id,
            service=group.service,
            version=group.version,
            members=[m.address for m in group.members],
        )
        state = await self._engines.order(address, order, lambda: None)
        return state.phase

    async def _write(
        self, assignment: model.Assignment, version: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        stamped = msgspec.structs.replace(
            assignment, write_id=ids.WriteId(uuid.uuid4().hex)
        )
        return await self._store.put(
            model.ASSIGNMENT_KIND,
            assignment.domain,
            msgspec.json.encode(stamped),
            version,
        )


def _ready(group: model.Group) -> model.Group:
    return msgspec.structs.replace(group, state=model.GroupState.READY)


def _decode(stored: objects.StoredObject) -> model.Assignment:
    return msgspec.json.decode(stored.value, type=model.Assignment)


def main() -> None:
    """Run against the platform at the address of the first argument."""
    logs.configure("info")
    curio.run(Controller(messages.parse_address(sys.argv[1])).run)


if __name__ == "__main__":
    main()
