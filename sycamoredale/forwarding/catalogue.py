"""Describe what operators have configured: routes, services, organisations.

A catalogue is one accepted version of the whole.  It never changes; a newer
version replaces it.
"""

import dataclasses
import enum
from typing import Final

from sycamoredale import ids


class RetryPolicy(enum.Enum):
    """State how often a request of a route may run."""

    ANY = "any"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Describe how requests under a host and a path prefix are handled.

    `answer_seconds` is the longest time to an answer, `objective_seconds`
    the response time aimed at (of a stream: its first event) and
    `gap_seconds` the longest pause between events.  The rank of the most
    urgent route is 0.  `weight_by_service` splits the requests.
    """

    name: str
    host: str
    path_prefix: str
    retry_policy: RetryPolicy
    weight_by_service: tuple[tuple[ids.ServiceName, int], ...]
    timeout_seconds: float
    objective_seconds: float
    max_event_gap_seconds: float
    priority: int
    max_runs: int
    public: bool
    resumable: bool

    @property
    def may_retry(self) -> bool:
        """Tell whether a request may run again after it has run."""
        return self.retry_policy is RetryPolicy.ANY or self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Describe a model whose replicas span `size` instances.

    `share` is its part of the work; `pace` is a factor on all times.
    """

    name: str
    instances_per_replica: int
    demand_share: float
    time_factor: float
    load_seconds: float
    warmup_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class BatchEngine:
    """Describe an engine that runs requests in batches.

    A token takes `step_seconds`, and `per_request_seconds` more for each
    request of the batch; prompts are read at `read_tokens_per_second`.
    A group across fabric domains is slower by `far_factor`.  Events leave
    after each pass of `steps_per_pass` tokens.  Where the usual answer is
    not known, its tokens are 0.
    """

    slots: int
    step_seconds: float
    step_seconds_per_request: float
    prefill_tokens_per_second: float
    loads_per_second: float
    max_concurrent_loads: int
    cross_domain_factor: float
    models: tuple[Model, ...]
    steps_per_event: int = 1
    mean_answer_tokens: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe a service; `engine` is None for a plain one.

    A cold instance bears `cold_per_second` requests, 0 where any number.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_requests_per_second: float
    engine: BatchEngine | None = None

    def model(self, name: str) -> Model | None:
        """Return the model of a name, None if the service has no such."""
        models = self.engine.models if self.engine else ()
        return next((m for m in models if m.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bound what callers may send, in bytes and seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """Hold one accepted version of the configuration.

    `closed` says whether calls need the key of an organisation.
    """

    version: int
    routes: tuple[Route, ...] = ()
    service_by_name: dict[ids.ServiceName, Service] = dataclasses.field(
        default_factory=dict
    )
    organisation_by_key: dict[str, ids.OrganisationName] = dataclasses.field(
        default_factory=dict
    )
    requires_key: bool = False
    limits: Limits | None = None


EMPTY: Final = Catalogue(version=0)
