"""Hold an accepted configuration.

The operators' file describes the whole system; the records below are its
typed form after all checks have passed.
"""

import enum
from typing import Final

import msgspec

from sycamoredale import ids

POINTER_KIND: Final = "configuration"
POINTER_NAME: Final = "current"
PART_KIND: Final = "configuration-part"


class ServiceKind(enum.Enum):
    """Distinguish model engines from plain services."""

    MODEL = "model"
    PLAIN = "plain"


class ZoneState(enum.Enum):
    """State whether an availability zone takes new work."""

    IN = "in"
    OUT = "out"


class Fencing(enum.Enum):
    """State what the engines of a service do with an old fencing number."""

    HONOURED = "honoured"
    IGNORED = "ignored"


class EngineRole(enum.Enum):
    """Name the part of the work that the engines of a service take."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declare how calls of a plain service under a path may be treated."""

    path: str
    methods: tuple[str, ...] = ("GET",)
    idempotent: bool = False


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one service and the replicas that it needs."""

    name: ids.ServiceName
    kind: ServiceKind
    replicas: int
    instances_per_replica: int = 1
    version: ids.VersionName = ids.VersionName("")
    fencing: Fencing = Fencing.HONOURED
    cold_limit: int = 2
    capacity: int = 32
    routes: list[Route] = []
    role: EngineRole = EngineRole.MIXED


class ModelVersion(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one version of a model service."""

    name: ids.VersionName
    service: ids.ServiceName
    weights: str


class Adapter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one adapter of a model service."""

    name: ids.AdapterName
    service: ids.ServiceName
    weights: str


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one organisation; the hash is of its API key, in hex."""

    name: ids.OrganisationName
    key_sha256: str
    weight: int = 1
    max_concurrent: int = 256


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one availability zone."""

    name: ids.ZoneName
    state: ZoneState = ZoneState.IN


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound what routers accept."""

    queue_per_organisation: int = 256
    default_deadline_seconds: float = 60.0
    result_retention_seconds: float = 86400.0


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the whole of an operators' file."""

    services: list[Service] = []
    versions: list[ModelVersion] = []
    adapters: list[Adapter] = []
    organisations: list[Organisation] = []
    zones: list[Zone] = []
    limits: Limits = Limits()


class Pointer(msgspec.Struct, frozen=True):
    """Name the parts of the accepted configuration.

    The generation grows by one with each accepted file.
    """

    generation: ids.Generation
    parts: list[str]
    write_id: ids.WriteId
