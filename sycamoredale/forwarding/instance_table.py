"""Keep the newest known state of each instance.

The state of an instance arrives with the platform's instance list and with
reports.  The start time and the number of accepted orders version it, so that
states may arrive in any order from either source.
"""

import collections.abc
import contextlib
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import departures as departures_module
from sycamoredale.forwarding import incarnations as incarnations_module
from sycamoredale.forwarding import instance_state
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.observability import logs

LOG: Final = logs.get("instances")

OnChange = collections.abc.Callable[[], None]

# An instance that a partition keeps from the store mostly returns to the list
# within some seconds; one that is still missing after this time has ended.
UNLISTED_RETENTION_SECONDS: Final = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class UnlistedInstance:
    """Record an instance that is not used and may still run.

    It has left the list, or is superseded: a later instance is listed at its
    address.
    """

    instance: instance_state.Instance
    since: clock.MonotonicTime
    is_superseded: bool = False


@dataclasses.dataclass
class InstanceTable:
    """Index the listed instances by id.

    An instance that leaves the list or is superseded gets no more requests.
    Those that it runs may go on, so its membership in a group is kept for a
    while.
    """

    by_id: dict[ids.InstanceId, instance_state.Instance] = dataclasses.field(
        default_factory=dict
    )
    cold_until_by_id: dict[ids.InstanceId, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    on_change: list[OnChange] = dataclasses.field(default_factory=list)
    unlisted_by_id: dict[ids.InstanceId, UnlistedInstance] = dataclasses.field(
        default_factory=dict
    )
    incarnations: incarnations_module.IncarnationTracker = dataclasses.field(
        default_factory=incarnations_module.IncarnationTracker
    )
    departures: departures_module.DepartureLog = dataclasses.field(
        default_factory=departures_module.DepartureLog
    )
    _is_batching: bool = False
    _has_changed: bool = False

    def apply_listing(
        self,
        listed: collections.abc.Iterable[instance_state.Instance],
        removed: collections.abc.Collection[ids.InstanceId],
        listed_ids: collections.abc.Set[ids.InstanceId] | None,
        now: clock.MonotonicTime,
    ) -> None:
        """Apply entries of the list, and remove those that have left it.

        `listed_ids` is None unless the list is complete; instances that are
        not in it are removed.
        `on_change` is called at most once, at the end.
        """
        with self.batch():
            for instance in listed:
                self.apply_listed(instance, now)
            for name in removed:
                self.remove_listed(name, now)
            if listed_ids is not None:
                self.retain(listed_ids, now)

    @contextlib.contextmanager
    def batch(self) -> collections.abc.Iterator[None]:
        """Call `on_change` at most once, at the end of the block."""
        self._is_batching = True
        try:
            yield
        finally:
            self._is_batching = False
            if self._has_changed:
                self._notify_changed()

    def apply_listed(
        self, instance: instance_state.Instance, now: clock.MonotonicTime
    ) -> None:
        """Apply an entry of the list unless a newer state is known."""
        known = self.by_id.get(instance.id)
        unlisted = self.unlisted_by_id.pop(instance.id, None)
        if known is None and unlisted is not None:
            known = unlisted.instance
        self.incarnations.record_started(instance.id, instance.started_ms)
        instance = self._keep_leaving(
            known, self._merge_newest(known, instance)
        )
        if known is not None and known.address != instance.address:
            self.incarnations.remove_address(known.address, instance.id)
            self._reinstate_at(known.address)
        superseded = self.incarnations.record_listed(
            instance.address, instance.id, instance.started_ms
        )
        if superseded == instance.id:
            since = unlisted.since if unlisted else now
            self._apply_superseded(instance, since)
            return
        if superseded in self.by_id:
            self._apply_superseded(self.by_id[superseded], now)
        until = clock.MonotonicTime(now + instance.cold_seconds)
        self.cold_until_by_id[instance.id] = until
        self._store(self._with_departure(instance))

    def _apply_superseded(
        self, instance: instance_state.Instance, since: clock.MonotonicTime
    ) -> None:
        """Use an instance no more, and keep it unless it has ended."""
        is_known = self.by_id.pop(instance.id, None) is not None
        if is_known:
            self._notify_changed()
        if self.incarnations.has_ended(instance.id):
            return
        if self.incarnations.is_refuted(instance.id, instance.started_ms):
            return
        if is_known:
            _log("instance_superseded", instance, "a later one is listed")
        self.unlisted_by_id[instance.id] = UnlistedInstance(
            instance, since, is_superseded=True
        )

    def contested(self) -> list[instance_state.Instance]:
        """Return the instances at whose address a later one is listed."""
        return [
            unlisted.instance
            for name, unlisted in self.unlisted_by_id.items()
            if not self.incarnations.is_latest(unlisted.instance.address, name)
        ]

    def record_answering(self, instance: instance_state.Instance) -> None:
        """Record that a contested instance has answered at its address.

        The other entries with that address do not name an instance there.
        """
        unlisted = self._find_unlisted(instance)
        if unlisted is None:
            return
        with self.batch():
            for other in self._others_at(instance):
                if other.started_ms < instance.started_ms:
                    self._record_replaced(other)
                else:
                    self._refute(other)
            self.incarnations.set_latest(
                instance.address, instance.id, instance.started_ms
            )
            if unlisted.is_superseded:
                self._reinstate(instance.id)

    def _others_at(
        self, instance: instance_state.Instance
    ) -> list[instance_state.Instance]:
        known = [u.instance for u in self.unlisted_by_id.values()]
        return [
            other
            for other in [*self.by_id.values(), *known]
            if other.address == instance.address and other.id != instance.id
        ]

    def _reinstate(self, name: ids.InstanceId) -> None:
        instance = self.unlisted_by_id.pop(name).instance
        _log("instance_reinstated", instance, "no other one is at its address")
        self._store(self._with_departure(instance))

    def record_replaced(self, instance: instance_state.Instance) -> None:
        """Record that another instance has answered at its address."""
        if self._find_unlisted(instance) is not None:
            self._record_replaced(instance)

    def _find_unlisted(
        self, instance: instance_state.Instance
    ) -> UnlistedInstance | None:
        """Return the record of an instance unless it has started again."""
        unlisted = self.unlisted_by_id.get(instance.id)
        if unlisted is None:
            return None
        is_same = _is_same_incarnation(unlisted.instance, instance)
        return unlisted if is_same else None

    def _refute(self, instance: instance_state.Instance) -> None:
        """Use an entry no more that names no instance at its address."""
        self.incarnations.refute(instance.id, instance.started_ms)
        self._remove(instance.id)
        _log("entry_refuted", instance, "another instance answers there")

    def _record_replaced(self, instance: instance_state.Instance) -> None:
        if not self.incarnations.has_ended(instance.id):
            _log_ended(instance, "another instance answers at its address")
        self.incarnations.record_ended(instance.id, instance.started_ms)
        self._remove(instance.id)
        # Also if it was not used: what ran on it has ended.
        self._notify_changed()

    def _merge_newest(
        self,
        known: instance_state.Instance | None,
        instance: instance_state.Instance,
    ) -> instance_state.Instance:
        """Return a listed instance with the newest known membership.

        If the known instance is a later incarnation, it is returned instead.
        """
        if self.incarnations.has_ended(instance.id):
            return _without_membership(instance)
        if known is not None and known.state_version > instance.state_version:
            merged = dataclasses.replace(
                instance,
                started_ms=known.started_ms,
                orders_taken=known.orders_taken,
                membership=known.membership,
                staged=known.staged,
            )
            return merged if _is_same_incarnation(known, instance) else known
        return instance

    def _keep_leaving(
        self,
        known: instance_state.Instance | None,
        instance: instance_state.Instance,
    ) -> instance_state.Instance:
        """Return a listed instance as leaving if it was before.

        An older entry may be listed after the store has come back from a
        copy, and an instance that leaves does so for its whole life.
        """
        if known is None or not known.leaving:
            return instance
        if not _is_same_incarnation(known, instance):
            return instance
        return dataclasses.replace(instance, leaving=True)

    def record_leaving(
        self,
        incarnation: departures_module.Incarnation,
        source: departures_module.Source,
    ) -> None:
        """Record that an instance has said that it leaves."""
        if not self.departures.record(incarnation, source):
            return
        name = incarnation.instance
        unlisted = self.unlisted_by_id.get(name)
        if unlisted is not None:
            self.unlisted_by_id[name] = dataclasses.replace(
                unlisted, instance=self._with_departure(unlisted.instance)
            )
        if name in self.by_id:
            self._store(self._with_departure(self.by_id[name]))

    def receive_departures(
        self,
        updates: collections.abc.Iterable[departures_module.DepartureUpdate],
    ) -> None:
        """Record what instances have said to a peer."""
        for update in updates:
            self.record_leaving(
                departures_module.Incarnation(
                    update.instance, update.started_ms
                ),
                departures_module.Source.PEER,
            )

    def take_departure_updates(
        self, now: clock.MonotonicTime
    ) -> list[departures_module.DepartureUpdate]:
        """Return what peers are to hear of leaving instances."""
        return self.departures.take_updates(self._is_known, now)

    def _is_known(self, incarnation: departures_module.Incarnation) -> bool:
        name = incarnation.instance
        unlisted = self.unlisted_by_id.get(name)
        known = unlisted.instance if unlisted else self.by_id.get(name)
        return known is not None and (
            departures_module.incarnation_of(known) == incarnation
        )

    def _with_departure(
        self, instance: instance_state.Instance
    ) -> instance_state.Instance:
        """Return an instance as leaving if it has said that it leaves."""
        if self.departures.includes(
            departures_module.incarnation_of(instance)
        ):
            return dataclasses.replace(instance, leaving=True)
        return instance

    def apply_report(
        self, instance: ids.InstanceId, report: instance_state.Report
    ) -> bool:
        """Apply the report of an instance unless a newer state is known.

        Returns whether a listed head has changed.
        """
        unlisted = self.unlisted_by_id.get(instance)
        known = unlisted.instance if unlisted else self.by_id.get(instance)
        if known is None:
            return False
        if (report.started_ms, report.orders_taken) < known.state_version:
            return False
        if 0 < known.started_ms < report.started_ms:
            return self._apply_replacement(known)
        if report.leaving:
            self.record_leaving(
                departures_module.Incarnation(instance, report.started_ms),
                departures_module.Source.REPORT,
            )
        updated = dataclasses.replace(
            known,
            started_ms=report.started_ms,
            orders_taken=report.orders_taken,
            membership=report.membership,
            staged=report.staged,
            leaving=known.leaving or report.leaving,
        )
        if unlisted is not None:
            self.unlisted_by_id[instance] = dataclasses.replace(
                unlisted, instance=updated
            )
            return False
        self._store(updated)
        has_changed = known.membership != updated.membership
        return has_changed and (_is_head(known) or _is_head(updated))

    def _apply_replacement(self, known: instance_state.Instance) -> bool:
        """Mark an instance as ended, since a later one has its address.

        The list shows later whether the later one has the same id.  Returns
        whether a listed head has changed.
        """
        if not self.incarnations.has_ended(known.id):
            _log_ended(known, "a later instance answers at its address")
        self.incarnations.record_ended(known.id, known.started_ms)
        if self.unlisted_by_id.pop(known.id, None) is not None:
            self._notify_changed()
            return False
        self._store(_without_membership(known))
        return _is_head(known)

    def _remove(self, instance: ids.InstanceId) -> None:
        self.unlisted_by_id.pop(instance, None)
        self.cold_until_by_id.pop(instance, None)
        if self.by_id.pop(instance, None) is not None:
            self._notify_changed()

    def remove_listed(
        self, instance: ids.InstanceId, now: clock.MonotonicTime
    ) -> None:
        """Remove an instance that has left the list.

        A member of a group is kept as unlisted, for up to
        UNLISTED_RETENTION_SECONDS.
        """
        self.cold_until_by_id.pop(instance, None)
        self.remove_unlisted_before(
            clock.MonotonicTime(now - UNLISTED_RETENTION_SECONDS)
        )
        known = self.by_id.pop(instance, None)
        unlisted = self.unlisted_by_id.get(instance)
        if unlisted is not None and unlisted.is_superseded:
            known = self.unlisted_by_id.pop(instance).instance
        if known is None:
            return
        if known.membership is not None:
            self.unlisted_by_id[instance] = UnlistedInstance(known, now)
        else:
            self.incarnations.remove_address(known.address, instance)
            self._reinstate_at(known.address)
        self._notify_changed()

    def _reinstate_at(self, address: messages.Address) -> None:
        """Use the latest superseded instance at an address if it is free."""
        found = [
            unlisted.instance
            for name, unlisted in self.unlisted_by_id.items()
            if unlisted.is_superseded
            and unlisted.instance.address == address
            and self.incarnations.is_latest(address, name)
        ]
        if found:
            latest = max(found, key=lambda instance: instance.started_ms)
            self.incarnations.set_latest(address, latest.id, latest.started_ms)
            self._reinstate(latest.id)

    def retain(
        self,
        listed_ids: collections.abc.Set[ids.InstanceId],
        now: clock.MonotonicTime,
    ) -> None:
        """Remove the instances that are missing in a complete list."""
        superseded = {
            name
            for name, unlisted in self.unlisted_by_id.items()
            if unlisted.is_superseded
        }
        for instance in (self.by_id.keys() | superseded) - listed_ids:
            self.remove_listed(instance, now)

    def remove_unlisted(self, instance: ids.InstanceId) -> None:
        """Remove an unlisted instance, which has ended.

        A superseded one is kept for as long as it is listed.
        """
        unlisted = self.unlisted_by_id.get(instance)
        if unlisted is None or unlisted.is_superseded:
            return
        del self.unlisted_by_id[instance]
        address = unlisted.instance.address
        self.incarnations.remove_address(address, instance)
        self._reinstate_at(address)

    def remove_unlisted_before(self, before: clock.MonotonicTime) -> None:
        """Remove the unlisted instances that left the list before a time."""
        for instance, unlisted in list(self.unlisted_by_id.items()):
            if unlisted.since < before:
                self.remove_unlisted(instance)

    def is_cold(
        self, instance: ids.InstanceId, now: clock.MonotonicTime
    ) -> bool:
        """Return whether an instance is in its cold start."""
        until = self.cold_until_by_id.get(instance)
        return until is not None and now < until

    def has_ended(self, instance: ids.InstanceId, started_ms: int) -> bool:
        """Return whether an instance that started at a time has ended."""
        if self.incarnations.has_ended(instance):
            return True
        known = self.by_id.get(instance)
        return known is not None and known.started_ms > started_ms

    def of_service(
        self, service: ids.ServiceName
    ) -> collections.abc.Iterator[instance_state.Instance]:
        """Yield the instances of a service."""
        return (i for i in self.by_id.values() if i.service == service)

    def _store(self, instance: instance_state.Instance) -> None:
        known = self.by_id.get(instance.id)
        if instance.leaving and not (known and known.leaving):
            incarnation = departures_module.incarnation_of(instance)
            if not self.departures.includes(incarnation):
                self.departures.log(incarnation, departures_module.Source.LIST)
        if known != instance:
            self.by_id[instance.id] = instance
            self._notify_changed()

    def _notify_changed(self) -> None:
        self._has_changed = self._is_batching
        if self._is_batching:
            return
        for callback in self.on_change:
            callback()


def _log_ended(instance: instance_state.Instance, reason: str) -> None:
    _log("instance_ended", instance, reason)


def _log(event: str, instance: instance_state.Instance, reason: str) -> None:
    LOG.info(
        event,
        instance=instance.id,
        address=str(instance.address),
        started_ms=instance.started_ms,
        reason=reason,
    )


def _without_membership(
    instance: instance_state.Instance,
) -> instance_state.Instance:
    return dataclasses.replace(instance, membership=None, staged=())


def _is_head(instance: instance_state.Instance) -> bool:
    return instance.membership is not None and instance.membership.rank == 0


def _is_same_incarnation(
    known: instance_state.Instance, listed: instance_state.Instance
) -> bool:
    return known.started_ms == listed.started_ms
