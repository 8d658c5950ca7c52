"""Choose the endpoint of a call, or refuse the call at once."""

import collections.abc
import dataclasses
import random
from typing import Final

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import cold_shares
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_book
from sycamoredale.forwarding import urgency
from sycamoredale import ids

# In requests: what the way to another zone costs against a shorter queue.
OTHER_ZONE_LOAD: Final = 0.5
# A group across fabric domains takes three times as long for each token, so
# it is begun with once the others are half full.
FAR_SHARE: Final = 0.5
FAR_FACTOR: Final = 1.5
# A request that gives way delays others only once it runs.
YIELDING_WEIGHT: Final = 0.3
# Two show nearly all of what more of them would, and the older the news of
# loads are, the worse are more (`tests/test_old_news.py`).
DRAWN_ENDPOINTS: Final = 2
# Less than one request of the slots of an engine.
DRAW_SHARE: Final = 0.05
# Above this share of the slots a request waits past its objective.
FULL_SHARE: Final = 1.5
# What stood still may still do so: one request of any daemon at a time shows
# that, and the others lose nothing.
TRIAL_LOAD: Final = 1.0
# A plain instance queues this many times its slots before it is full.
PLAIN_FULL_SHARE: Final = 4.0
# A group is formed again from staged instances in about that time.
NO_ENDPOINT_RETRY_SECONDS: Final = 2.0
# A group that was lost is formed again within about two seconds; callers
# wait no longer than a third of the time that they have left.
FULL_RETRY_SECONDS: Final = 1.5


@dataclasses.dataclass
class Chooser:
    """Choose among the endpoints that are known."""

    known: endpoints.EndpointBook
    instances: instance_book.InstanceBook
    own_zone: ids.ZoneName
    cold: cold_shares.ColdShares
    sampler: random.Random = dataclasses.field(default_factory=random.Random)

    def choose(
        self,
        call: calls.Call,
        excluded: collections.abc.Set[ids.InstanceId],
        now: clock.MonotonicTime,
        must_go_on: bool = False,
    ) -> endpoints.Endpoint:
        """Return the endpoint for a call; raise Refusal if none has room.

        A call that must go on goes to a full endpoint rather than to none.
        """
        known = self.known.of(call.service.name, _model(call))
        usable = [
            e
            for e in known
            if e.id not in excluded and self._bears_more(e, call.service, now)
        ]
        trusted = [e for e in usable if not e.is_suspect(now)]
        sound = [e for e in trusted if not _is_being_tried(e, now)] or trusted
        if not sound and must_go_on:
            sound = usable
        if not sound:
            raise _none(call, len(known))
        drawn = self._least_loaded_of_a_draw(sound, now)
        is_full = _is_full(drawn, call.service, now)
        if not is_full and self._is_in_time(call, drawn, now):
            return drawn
        best = min(sound, key=lambda e: self._cost(e, now))
        if must_go_on or not _is_full(best, call.service, now):
            return best
        if not self._is_in_time(call, best, now):
            raise _full(call, len(sound))
        return best

    def _least_loaded_of_a_draw(
        self,
        found: collections.abc.Sequence[endpoints.Endpoint],
        now: clock.MonotonicTime,
    ) -> endpoints.Endpoint:
        """Return the less loaded one of a few that are drawn.

        All daemons know about the same loads, some tenths of a second old.
        If each chose the least of all, they would choose the same one.
        """
        count = min(DRAWN_ENDPOINTS, len(found))
        drawn = self.sampler.sample(found, count)
        return min(drawn, key=lambda e: self._cost(e, now))

    def _is_in_time(
        self,
        call: calls.Call,
        endpoint: endpoints.Endpoint,
        now: clock.MonotonicTime,
    ) -> bool:
        if call.service.engine is None:
            return endpoint.load(now) < endpoint.slots
        placed = urgency.urgency_of(call, endpoint, False, now)
        return placed is urgency.Urgency.IN_TIME

    def _cost(
        self, endpoint: endpoints.Endpoint, now: clock.MonotonicTime
    ) -> float:
        far = endpoint.instance.zone != self.own_zone
        yielding = endpoint.load(now) - endpoint.urgent_load(now)
        load = endpoint.urgent_load(now) + YIELDING_WEIGHT * yielding
        load += OTHER_ZONE_LOAD if far else 0.0
        share = load / max(1, endpoint.slots)
        if endpoint.is_far:
            share = FAR_SHARE + FAR_FACTOR * share
        # The draw keeps daemons that know the same from choosing the same.
        return share + DRAW_SHARE * self.sampler.random()

    def _bears_more(
        self,
        endpoint: endpoints.Endpoint,
        service: catalogue.Service,
        now: clock.MonotonicTime,
    ) -> bool:
        """Tell whether a cold endpoint bears one more from this daemon."""
        if not service.cold_per_second:
            return True
        if not self.instances.is_cold(endpoint.id, now):
            return True
        share = self.cold.of(endpoint.id, service.cold_per_second)
        recent = [t for t in endpoint.cold_sends if now - t < 1.0]
        endpoint.cold_sends = recent
        return len(recent) < share

    def sent(
        self, endpoint: endpoints.Endpoint, now: clock.MonotonicTime
    ) -> None:
        """Note that a request goes to an endpoint."""
        if self.instances.is_cold(endpoint.id, now):
            endpoint.cold_sends.append(now)


def _model(call: calls.Call) -> str:
    if call.service.engine is None:
        return ""
    return call.envelope.model or ""


def _is_being_tried(
    endpoint: endpoints.Endpoint, now: clock.MonotonicTime
) -> bool:
    return endpoint.is_on_trial(now) and endpoint.load(now) >= TRIAL_LOAD


def _is_full(
    endpoint: endpoints.Endpoint,
    service: catalogue.Service,
    now: clock.MonotonicTime,
) -> bool:
    share = FULL_SHARE if service.engine else PLAIN_FULL_SHARE
    return endpoint.load(now) >= share * endpoint.slots


def _none(call: calls.Call, known: int) -> errors.Refusal:
    return errors.Refusal(
        error_codes.NO_ENDPOINT,
        f"none of {known} endpoints of service {call.service.name!r} "
        "can take the request now",
        retry_after=NO_ENDPOINT_RETRY_SECONDS,
    )


def _full(call: calls.Call, known: int) -> errors.Refusal:
    return errors.Refusal(
        error_codes.OVERLOADED,
        f"all {known} endpoints of service {call.service.name!r} are full",
        retry_after=FULL_RETRY_SECONDS,
    )
