"""Describe the routes, services and organisations that operators configure.

A catalogue is one accepted version of the configuration.  It is immutable; a
newer version replaces it.
"""

import collections.abc
import dataclasses
import enum
from typing import Final

from sycamoredale import ids


class RetryPolicy(enum.Enum):
    """Define how often a request of a route may run.

    ANY: any number of times.  ONCE and STREAM: at most once, unless the route
    is resumable; the answer of STREAM is a stream of events.
    """

    ANY = "any"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Configure the requests under a host and a path prefix.

    `timeout_seconds` limits the time to a complete answer;
    `objective_seconds` is the objective for the response time (of a stream:
    the time to its first event), and `max_event_gap_seconds` that for the
    pause between two events.  0 is the highest `priority`.  `max_runs`
    limits how many endpoints may run one request.  Requests are split among
    services in proportion to `weight_by_service`.
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
        """Return whether a request may run again after it has run."""
        return self.retry_policy is RetryPolicy.ANY or self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Describe a model whose replicas span several instances.

    `demand_share` is its share of the demand, in instances; `time_factor`
    scales all times of the engine.
    """

    name: str
    instances_per_replica: int
    demand_share: float
    time_factor: float
    load_seconds: float
    staged_load_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class BatchEngine:
    """Describe an engine that runs requests in batches.

    A decoding step generates one token for each request of the batch.  It
    takes `step_seconds`, plus `step_seconds_per_request` for each request.
    Events are sent after every `steps_per_event` steps.  All times of a
    cross-domain group are longer by `cross_domain_factor`.
    `mean_answer_tokens` is 0 if it is not known, and so is `memory_tokens`,
    what an endpoint can hold of all its requests.
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
    memory_tokens: int = 0

    @property
    def full_step_seconds(self) -> float:
        """Return the duration of a decoding step with all slots in use."""
        return self.step_seconds + self.slots * self.step_seconds_per_request

    @property
    def usual_answer_seconds(self) -> float:
        """Return how long an answer takes usually, 0 if it is not known."""
        return self.mean_answer_tokens * self.full_step_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe a service.

    `engine` is None for a service without batches.  `max_connections` limits
    the connections of all daemons to one instance.  An instance is cold for
    `cold_seconds` after its start, and then sustains
    `cold_requests_per_second` requests a second; 0 means no limit.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_requests_per_second: float
    engine: BatchEngine | None = None

    def model(self, name: str) -> Model | None:
        """Return the model with a name, or None."""
        models = self.engine.models if self.engine else ()
        return next((m for m in models if m.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limit the size and the duration of callers' requests."""

    header_limit_bytes: int
    body_limit_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """Describe one accepted version of the configuration.

    Organisations need not have a priority; 0 is the highest one.  If
    `requires_key` is true, calls to routes that are not public need the
    API key of an organisation.
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
    priority_by_organisation: collections.abc.Mapping[
        ids.OrganisationName, int | None
    ] = dataclasses.field(default_factory=dict)
    limits: Limits | None = None


EMPTY: Final = Catalogue(version=0)
