"""Decode the operators' manifest from the platform's store."""

import msgspec

from sycamoredale import decoding
from sycamoredale.forwarding import catalogue
from sycamoredale import ids
from sycamoredale import lenient_values

# How often a request of each of the platform's kinds may run.
_RETRY_POLICY_BY_KIND = {
    "idempotent": catalogue.RetryPolicy.ANY,
    "non_idempotent": catalogue.RetryPolicy.ONCE,
    "streaming": catalogue.RetryPolicy.STREAM,
}
# For engines that state no rate, or one that is of no use.
_DEFAULT_READ_PER_S = 1e6
_MAX_READ_PER_S = 1e12
_MAX_SLOTS = 2**31


class _Split(msgspec.Struct):
    # Name of a service.
    backend: str
    weight: int = 1


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float = 60_000
    # Response-time objective; for a stream, until its first event.
    slo_ms: float = 1_000
    priority: msgspec.Raw = msgspec.Raw()
    backend: str = ""
    traffic_split: list[_Split] = []
    # Replicas that may run one request, however often it is sent.
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 1_000


class _Model(msgspec.Struct):
    name: str
    size: int
    share: float = 1.0
    pace: float = 1.0
    load_s: float = 0.0
    warm_s: float = 0.0


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: msgspec.Raw = msgspec.Raw()
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    read_per_s: float = _DEFAULT_READ_PER_S
    loads_per_s: float = 1.0
    loads_at_once: int = 1
    # Time factor of a group that spans fabric domains.
    far_x: float = 1.0
    # Decoding steps in one batch pass; events are sent after the pass.
    stride: int = 1
    # Mean token counts; "answer" is that of an answer.
    usual: dict[str, float] = {}
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    # Limit on the connections of all daemons together.
    max_conns: int = 64
    # Cold phase after a start, and the request rate allowed in it.
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: msgspec.Raw = msgspec.Raw()


class _Limits(msgspec.Struct):
    max_header_bytes: int = 65536
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    # Organisations; without any, calls need no API key.
    tenants: list[_Tenant] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = decoding.JsonDecoder(_Manifest)
_NUMBERS = lenient_values.LenientReader()


def decode(data: bytes | msgspec.Raw) -> catalogue.Catalogue:
    """Decode a manifest; raise msgspec.DecodeError."""
    manifest = _DECODER.decode(data)
    tenants = manifest.tenants or []
    return catalogue.Catalogue(
        version=manifest.version,
        routes=tuple(_route(route) for route in manifest.routes),
        service_by_name={
            ids.ServiceName(s.name): _service(s) for s in manifest.services
        },
        organisation_by_key={
            key: ids.OrganisationName(tenant.name)
            for tenant in tenants
            for key in tenant.api_keys
        },
        priority_by_organisation={
            ids.OrganisationName(t.name): _NUMBERS.priority(t.priority, t.name)
            for t in tenants
        },
        requires_key=bool(tenants),
        limits=catalogue.Limits(
            manifest.limits.max_header_bytes,
            manifest.limits.max_body_bytes,
            manifest.limits.header_timeout_ms / 1000,
            manifest.limits.idle_timeout_ms / 1000,
        ),
    )


def _route(route: _Route) -> catalogue.Route:
    split = [
        (ids.ServiceName(s.backend), s.weight) for s in route.traffic_split
    ]
    if not split:
        split = [(ids.ServiceName(route.backend), 1)]
    return catalogue.Route(
        name=route.name,
        host=route.hostname.lower(),
        path_prefix=route.path_prefix,
        # An unknown kind is treated as the strictest one.
        retry_policy=_RETRY_POLICY_BY_KIND.get(
            route.kind, catalogue.RetryPolicy.ONCE
        ),
        weight_by_service=tuple(split),
        timeout_seconds=route.timeout_ms / 1000,
        objective_seconds=route.slo_ms / 1000,
        max_event_gap_seconds=route.gap_target_ms / 1000,
        priority=_NUMBERS.priority(route.priority, route.name) or 0,
        max_runs=max(1, route.max_attempts),
        public=route.public,
        resumable=route.resumable,
    )


def _service(service: _Service) -> catalogue.Service:
    return catalogue.Service(
        name=ids.ServiceName(service.name),
        health_path=service.health_path,
        max_connections=service.max_conns,
        cold_seconds=service.warmup_s,
        cold_requests_per_second=service.warmup_per_s,
        engine=(
            _engine(service.engine, service.name) if service.engine else None
        ),
    )


def _engine(engine: _Engine, service: str) -> catalogue.BatchEngine:
    return catalogue.BatchEngine(
        slots=_NUMBERS.bounded(
            engine.slots, (1, _MAX_SLOTS), 1, "slots", service
        ),
        step_seconds=engine.step_ms / 1000,
        step_seconds_per_request=engine.per_seq_ms / 1000,
        prefill_tokens_per_second=_NUMBERS.bounded(
            engine.read_per_s,
            (1.0, _MAX_READ_PER_S),
            _DEFAULT_READ_PER_S,
            "read_per_s",
            service,
        ),
        loads_per_second=engine.loads_per_s,
        max_concurrent_loads=engine.loads_at_once,
        cross_domain_factor=engine.far_x,
        models=tuple(
            catalogue.Model(
                m.name, m.size, m.share, m.pace, m.load_s, m.warm_s
            )
            for m in engine.models
        ),
        steps_per_event=engine.stride,
        memory_tokens=_NUMBERS.tokens(
            engine.kv_capacity, "kv_capacity", owner=service
        ),
        mean_answer_tokens=_NUMBERS.bounded(
            engine.usual.get("answer", 0.0),
            (0.0, float(lenient_values.MAX_CALL_TOKENS)),
            0.0,
            "usual.answer",
            service,
        ),
    )
