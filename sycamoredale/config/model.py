"""Define the configuration of the system.

The configuration file of the operators describes the whole system. The
classes below are its typed form after all checks have passed.
"""

import enum
from typing import Final

import msgspec

from sycamoredale import ids

POINTER_KIND: Final = "configuration"
POINTER_NAME: Final = "current"
PART_KIND: Final = "configuration-part"


class ServiceKind(enum.Enum):
    """Distinguish services that run a model from plain HTTP services."""

    MODEL = "model"
    PLAIN = "plain"


class ZoneState(enum.Enum):
    """Specify whether an availability zone is in or out of service."""

    IN = "in"
    OUT = "out"


class Fencing(enum.Enum):
    """Specify whether engines reject or ignore outdated fencing numbers."""

    HONOURED = "honoured"
    IGNORED = "ignored"


class EngineRole(enum.Enum):
    """Specify which phases of inference the engines of a service run."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declare the methods and the idempotence of a plain service's path."""

    path: str
    methods: tuple[str, ...] = ("GET",)
    idempotent: bool = False


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a service, its replicas and their limits."""

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
    """Describe one version of a model service and its weights."""

    name: ids.VersionName
    service: ids.ServiceName
    weights: str


class Adapter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one adapter of a model service and its weights."""

    name: ids.AdapterName
    service: ids.ServiceName
    weights: str


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe an organisation, its share and its concurrency limit.

    `key_sha256` is the SHA-256 of the API key in lower-case hexadecimal.
    """

    name: ids.OrganisationName
    key_sha256: str
    weight: int = 1
    max_concurrent: int = 256


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe an availability zone and its state."""

    name: ids.ZoneName
    state: ZoneState = ZoneState.IN


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Define the limits and defaults that routers apply to calls."""

    queue_per_organisation: int = 256
    default_deadline_seconds: float = 60.0
    result_retention_seconds: float = 86400.0


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contain all sections of a configuration file."""

    services: list[Service] = []
    versions: list[ModelVersion] = []
    adapters: list[Adapter] = []
    organisations: list[Organisation] = []
    zones: list[Zone] = []
    limits: Limits = Limits()


class Pointer(msgspec.Struct, frozen=True):
    """List the parts of the accepted configuration by digest.

    The generation increases by one with each accepted file. The write ID
    allows a writer to recognise its own write.
    """

    generation: ids.Generation
    parts: list[str]
    write_id: ids.WriteId
