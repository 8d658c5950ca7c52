"""Decode the operators' manifest as it lies in the platform's store."""

import msgspec

from sycamoredale.forwarding import catalogue
from sycamoredale import ids

# The platform's kinds of request, by how often one may run.
_REPEAT_BY_KIND = {
    "idempotent": catalogue.RetryPolicy.ANY,
    "non_idempotent": catalogue.RetryPolicy.ONCE,
    "streaming": catalogue.RetryPolicy.STREAM,
}


class _Split(msgspec.Struct):
    # The platform's "backend" is the name of a service.
    backend: str
    weight: int = 1


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float = 60_000
    # The response-time objective, of a stream up to its first event.
    slo_ms: float = 1_000
    priority: int = 0
    backend: str = ""
    traffic_split: list[_Split] = []
    # Counts the replicas that may run one request, not the sends.
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
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    read_per_s: float = 1e6
    loads_per_s: float = 1.0
    loads_at_once: int = 1
    # How much slower a group across fabric domains is.
    far_x: float = 1.0
    # Token steps in one pass, after which events are sent.
    stride: int = 1
    # Mean tokens, of an answer under "answer".
    usual: dict[str, float] = {}
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    # Connections from all daemons together.
    max_conns: int = 64
    # How long an instance stays cold after a start, and what it bears.
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []


class _Limits(msgspec.Struct):
    max_header_bytes: int = 65536
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    # The organisations; absent where calls need no key.
    tenants: list[_Tenant] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = msgspec.json.Decoder(_Manifest)


def decode(data: bytes | msgspec.Raw) -> catalogue.Catalogue:
    """Return the catalogue in a manifest; raise msgspec.DecodeError."""
    read = _DECODER.decode(data)
    tenants = read.tenants or []
    return catalogue.Catalogue(
        version=read.version,
        routes=tuple(_route(route) for route in read.routes),
        service_by_name={
            ids.ServiceName(s.name): _service(s) for s in read.services
        },
        organisation_by_key={
            key: ids.OrganisationName(tenant.name)
            for tenant in tenants
            for key in tenant.api_keys
        },
        requires_key=bool(tenants),
        limits=catalogue.Limits(
            read.limits.max_header_bytes,
            read.limits.max_body_bytes,
            read.limits.header_timeout_ms / 1000,
            read.limits.idle_timeout_ms / 1000,
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
        # An unknown kind is handled as the strictest one.
        retry_policy=_REPEAT_BY_KIND.get(
            route.kind, catalogue.RetryPolicy.ONCE
        ),
        weight_by_service=tuple(split),
        timeout_seconds=route.timeout_ms / 1000,
        objective_seconds=route.slo_ms / 1000,
        max_event_gap_seconds=route.gap_target_ms / 1000,
        priority=route.priority,
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
        engine=_engine(service.engine) if service.engine else None,
    )


def _engine(engine: _Engine) -> catalogue.BatchEngine:
    return catalogue.BatchEngine(
        slots=engine.slots,
        step_seconds=engine.step_ms / 1000,
        step_seconds_per_request=engine.per_seq_ms / 1000,
        prefill_tokens_per_second=engine.read_per_s,
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
        mean_answer_tokens=engine.usual.get("answer", 0.0),
    )
