"""Control the assigned groups of the fabric domains of one controller.

One task renews the leases, one polls the instance list, and each domain
whose lease is held has its own task, so that a slow or failing domain does
not delay the others.
"""

import dataclasses
import random
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.engines import model_engine
from sycamoredale import errors
from sycamoredale.groups import assignment_store
from sycamoredale.groups import domain_reconciler
from sycamoredale.groups import lease_set
from sycamoredale.groups import load_slots
from sycamoredale.groups import local_fault
from sycamoredale.groups import probing
from sycamoredale.http import client
from sycamoredale import ids
from sycamoredale import leases
from sycamoredale.object_api import instances
from sycamoredale.object_api import objects
from sycamoredale.object_api import weights
from sycamoredale.observability import logs
from sycamoredale import supervision

LEASE_RENEWAL_SECONDS: Final = 0.4
LIMITS_INTERVAL_SECONDS: Final = 30.0
LIST_INTERVAL_SECONDS: Final = 1.0
IDLE_LIST_INTERVAL_SECONDS: Final = 3.0
MAX_PROBES_PER_SECOND: Final = 40.0
SHRUNKEN_LISTS_UNTIL_ACCEPTED: Final = 5
LOG: Final = logs.get("groups.controller")


class GetConfiguration(typing.Protocol):
    """Return the configuration in force, None before the first one."""

    def __call__(self) -> config_model.Configuration | None:
        """Return the configuration."""


@dataclasses.dataclass(frozen=True)
class Platform:
    """Combine the clients of the platform."""

    store: objects.ObjectStore
    listing: instances.InstanceList
    weights: weights.WeightStore


class GroupController:
    """Control the groups of all domains whose leases are held."""

    def __init__(
        self,
        owner: ids.DaemonId,
        platform: Platform,
        configuration: GetConfiguration,
        interval_seconds: float,
    ) -> None:
        """Build the components; nothing runs before `run`."""
        self._platform = platform
        self._get_configuration = configuration
        self._interval = interval_seconds
        self._engines = model_engine.ModelEngineClient(client.Pool())
        self._leases = lease_set.LeaseSet(platform.store, owner)
        self._assignments = assignment_store.AssignmentStore(platform.store)
        self._slots = load_slots.LoadSlots(platform.store)
        self._fault_detector = local_fault.LocalFaultDetector()
        self._instances: dict[ids.InstanceId, instances.Instance] = {}
        self._shrunken_lists = 0
        self._running_domains: set[ids.DomainName] = set()

    async def run(self) -> None:
        """Run all tasks, forever."""
        tasks = [
            await supervision.spawn("assignments", self._assignments.follow),
            await supervision.spawn("instances", self._poll_instance_list),
            await supervision.spawn("weights", self._poll_weight_limits),
        ]
        try:
            await self._maintain_leases()
        finally:
            for task in tasks:
                await task.cancel()

    async def _maintain_leases(self) -> None:
        while True:
            try:
                await self._renew_leases()
            except errors.SycamoredaleError as error:
                LOG.warning("lease_round_failed", reason=error.message)
            await curio.sleep(LEASE_RENEWAL_SECONDS * random.uniform(0.8, 1.2))

    async def stop(self) -> None:
        """Release all leases."""
        await self._leases.release()

    async def _renew_leases(self) -> None:
        now = clock.monotonic()
        if self._fault_detector.suspects_fault(now):
            await self._leases.release()
            return
        domains = {i.domain for i in self._instances.values()}
        domains |= self._assignments.by_domain.keys()
        await self._leases.renew_or_acquire(domains, now)
        for domain in domains - self._running_domains:
            lease = self._leases.lease_of(domain)
            if lease.is_held(clock.monotonic()):
                self._running_domains.add(domain)
                await curio.spawn(self._run_domain, domain, lease, daemon=True)

    async def _run_domain(
        self, domain: ids.DomainName, lease: leases.Lease
    ) -> None:
        reconciler = domain_reconciler.DomainReconciler(
            domain,
            lease,
            self._assignments,
            self._slots,
            self._engines,
            probing.Prober(self._engines),
            self._fault_detector,
        )
        try:
            while lease.is_held(clock.monotonic()):
                await self._run_round(reconciler)
                await curio.sleep(self._pause_seconds())
        finally:
            self._fault_detector.remove(domain)
            self._running_domains.discard(domain)

    async def _run_round(
        self, reconciler: domain_reconciler.DomainReconciler
    ) -> None:
        configuration = self._get_configuration()
        if configuration is None or not self._instances:
            return
        if not self._assignments.synced:
            return
        shared = domain_reconciler.SharedState(configuration, self._instances)
        try:
            await reconciler.reconcile(shared)
        except errors.SycamoredaleError as error:
            LOG.warning(
                "round_failed", domain=reconciler.domain, reason=error.message
            )
        except Exception:
            LOG.exception("round_crashed", domain=reconciler.domain)

    async def _poll_instance_list(self) -> None:
        while True:
            try:
                self._apply_instance_list(await self._platform.listing.read())
            except errors.StoreUnavailable as error:
                LOG.warning("list_unavailable", reason=error.message)
            idle = bool(self._instances) and not self._running_domains
            await curio.sleep(
                IDLE_LIST_INTERVAL_SECONDS if idle else LIST_INTERVAL_SECONDS
            )

    def _apply_instance_list(self, listed: list[instances.Instance]) -> None:
        """Replace the instance list.

        A list that lacks more than half of the known instances is accepted
        only after it was read several times in a row.
        """
        by_id = {instance.id: instance for instance in listed}
        if by_id == self._instances:
            self._shrunken_lists = 0
            return
        missing = len(self._instances.keys() - by_id.keys())
        if 2 * missing > len(self._instances):
            self._shrunken_lists += 1
            if self._shrunken_lists < SHRUNKEN_LISTS_UNTIL_ACCEPTED:
                return
        self._shrunken_lists = 0
        self._instances = by_id

    async def _poll_weight_limits(self) -> None:
        while True:
            try:
                self._slots.limits = await self._platform.weights.limits()
            except errors.StoreUnavailable as error:
                LOG.warning("limits_unavailable", reason=error.message)
            has_limits = self._slots.limits is not None
            await curio.sleep(
                LIMITS_INTERVAL_SECONDS if has_limits else self._interval
            )

    def _pause_seconds(self) -> float:
        probed = sum(
            i.domain in self._running_domains for i in self._instances.values()
        )
        min_pause = probed / MAX_PROBES_PER_SECOND
        return max(self._interval, min_pause) * random.uniform(0.9, 1.1)
