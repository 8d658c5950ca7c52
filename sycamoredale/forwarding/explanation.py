"""Explain where a call would go now, without sending it.

The answer comes from the memory of the daemon and from the selector of its
calls.  The selector is copied, so that neither metrics nor the sequence of
random numbers change.
"""

import collections
import collections.abc
import dataclasses

import msgspec

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import daemon_subsets
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import header_values
from sycamoredale.forwarding import route_table
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.requests import poison


class InvalidQuestion(ValueError):
    """Report a question that names no call of this deployment."""


class Candidate(msgspec.Struct, frozen=True):
    """Describe an endpoint that serves the model.

    `load` is the number of its requests; `load_per_slot` weights them as a
    selection does.
    """

    endpoint: ids.InstanceId
    zone: ids.ZoneName
    subsets: list[str]
    load: float
    slots: int
    load_per_slot: float
    is_in_time: bool
    is_full: bool
    slowdown: float
    excluded_by: list[str]


class RefusalText(msgspec.Struct, frozen=True):
    """Describe the refusal that a caller would get."""

    code: str
    message: str
    retry_after: float | None


class Explanation(msgspec.Struct, frozen=True):
    """Tell the endpoint that one selection takes now, or the refusal.

    Another selection may take another endpoint, since two are sampled.
    `leaving_share` is the share of calls that go to the wide subset, None if
    the daemon uses all endpoints.  `instances_by_zone_out` counts the
    instances of the service in zones that are taken out.
    """

    route: str
    objective_ms: float
    own_zone: ids.ZoneName
    leaving_share: float | None
    selected: ids.InstanceId | None
    refusal: RefusalText | None
    candidates: list[Candidate]
    instances_by_zone_out: dict[ids.ZoneName, int]


@dataclasses.dataclass(frozen=True)
class Explainer:
    """Answer questions over HTTP about selections."""

    selector: endpoint_selection.EndpointSelector
    routes: route_table.RouteTable

    def respond(
        self, request: messages.Request, now: clock.MonotonicTime
    ) -> messages.Response:
        """Return the explanation as JSON, or what is wrong with a question."""
        if request.method != "GET":
            return _error(405, f"the method is {request.method!r}, not GET")
        try:
            call = self._read_call(request, now)
        except InvalidQuestion as error:
            return _error(400, str(error))
        return _json(200, self.explain(call, now))

    def explain(
        self, call: calls.Call, now: clock.MonotonicTime
    ) -> Explanation:
        """Return what a selection for a call does now."""
        selector = self.selector.snapshot(now)
        selected, refusal = None, None
        try:
            selected = selector.select(call, frozenset(), now).id
        except errors.Refusal as error:
            refusal = RefusalText(
                error.code.name, error.message, error.retry_after
            )
        model = call.envelope.model or ""
        known = selector.endpoint_table.for_model(call.service.name, model)
        subsets = selector.subsets_for(call, known, now)
        return Explanation(
            route=call.route.name,
            objective_ms=1000 * call.route.objective_seconds,
            own_zone=selector.own_zone,
            leaving_share=(
                round(subsets.leaving.share, 3) if subsets else None
            ),
            selected=selected,
            refusal=refusal,
            candidates=[
                _candidate(selector.assess(call, e, now), subsets, now)
                for e in known
            ],
            instances_by_zone_out=self._count_zones_out(call.service.name),
        )

    def _count_zones_out(
        self, service: ids.ServiceName
    ) -> dict[ids.ZoneName, int]:
        zones_out = self.selector.endpoint_table.get_zones_out()
        return dict(
            collections.Counter(
                instance.zone
                for instance in self.selector.instances.by_id.values()
                if instance.service == service and instance.zone in zones_out
            )
        )

    def _read_call(
        self, request: messages.Request, now: clock.MonotonicTime
    ) -> calls.Call:
        """Return the call of a question; raise InvalidQuestion."""
        service = self._read_service(request)
        route = self._read_route(request, service)
        envelope = calls.Envelope(
            id=ids.RequestId("explain"),
            host=route.host,
            api_key=None,
            timeout_seconds=route.timeout_seconds,
            model=_read_model(request, service),
            prompt_tokens=_read_count(request, "prompt_tokens"),
            answer_tokens=_read_count(request, "answer_tokens"),
            last_event_id=None,
        )
        return calls.Call(
            envelope,
            messages.Request("POST", route.path_prefix),
            route,
            service,
            None,
            now,
            clock.MonotonicTime(now + route.timeout_seconds),
            poison.Fingerprint(""),
            urgency=self.routes.urgency_of(route, service, None),
            work=self.routes.estimate_work(envelope, service),
        )

    def _read_service(self, request: messages.Request) -> catalogue.Service:
        services = self.routes.current.service_by_name
        name = ids.ServiceName(request.query("service") or "")
        if name not in services:
            raise InvalidQuestion(_not_one_of("service", name, services))
        return services[name]

    def _read_route(
        self, request: messages.Request, service: catalogue.Service
    ) -> catalogue.Route:
        """Return the named route, or the first one of the service."""
        route_by_name = {
            route.name: route
            for route in self.routes.current.routes
            if service.name in dict(route.weight_by_service)
        }
        if not route_by_name:
            raise InvalidQuestion(
                f"no route sends calls to service {service.name!r}"
            )
        name = request.query("route") or next(iter(route_by_name))
        if name not in route_by_name:
            raise InvalidQuestion(_not_one_of("route", name, route_by_name))
        return route_by_name[name]


def _read_model(
    request: messages.Request, service: catalogue.Service
) -> str | None:
    if service.engine is None:
        return None
    name = request.query("model") or ""
    if service.model(name) is None:
        known = [model.name for model in service.engine.models]
        raise InvalidQuestion(_not_one_of("model", name, known))
    return name


def _read_count(request: messages.Request, name: str) -> int:
    text = request.query(name)
    if text is None:
        return 0
    counts = header_values.integers(text, 1)
    if counts is None:
        raise InvalidQuestion(
            f"{name} is {text!r}, not a number of tokens of up to "
            f"{header_values.MAX_DIGITS} digits"
        )
    return counts[0]


def _not_one_of(
    what: str, name: str, known: collections.abc.Iterable[str]
) -> str:
    names = ", ".join(repr(other) for other in sorted(known)) or "none"
    return f"{what} is {name!r}, not one of: {names}"


def _candidate(
    assessment: endpoint_selection.Assessment,
    subsets: daemon_subsets.ModelSubsets | None,
    now: clock.MonotonicTime,
) -> Candidate:
    endpoint = assessment.endpoint
    ids_by_subset = (
        {"near": subsets.near, "wide": subsets.wide} if subsets else {}
    )
    return Candidate(
        endpoint=endpoint.id,
        zone=endpoint.instance.zone,
        subsets=[
            name for name, i in ids_by_subset.items() if endpoint.id in i
        ],
        load=round(endpoint.load(now), 2),
        slots=endpoint.slots,
        load_per_slot=round(assessment.load_per_slot, 3),
        is_in_time=assessment.is_in_time,
        is_full=assessment.is_full,
        slowdown=round(endpoint.pace.slowdown, 1),
        excluded_by=[e.value for e in assessment.exclusions],
    )


def _error(status: int, message: str) -> messages.Response:
    return _json(status, {"error": message})


def _json(
    status: int, value: Explanation | dict[str, str]
) -> messages.Response:
    headers = messages.Headers([("Content-Type", "application/json")])
    return messages.Response(status, headers, msgspec.json.encode(value))
