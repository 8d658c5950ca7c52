"""Describe the orders and states that model engines exchange with us."""

import enum
from typing import Final

import msgspec

from sycamoredale import ids

ORDER_LIFETIME_SECONDS: Final = 2.0


class Action(enum.Enum):
    """Name what an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    DRAIN = "drain"
    RESUME = "resume"
    UPDATE = "update"


class Role(enum.Enum):
    """Name the part of the work that the engines of a group take."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Phase(enum.Enum):
    """State what an engine does at present."""

    EMPTY = "empty"
    LOADING = "loading"
    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"
    FAILED = "failed"


class Order(msgspec.Struct, frozen=True):
    """Ask the engine of one instance to change; epoch is the fencing number.

    `members` are the addresses of the whole group, the leader first.  An
    order that an engine cannot begin within `lifetime_seconds` of its
    arrival is void.
    """

    action: Action
    epoch: ids.Epoch
    group: ids.GroupId
    service: ids.ServiceName = ids.ServiceName("")
    version: ids.VersionName = ids.VersionName("")
    weights: str = ""
    adapters: list[str] = []
    members: list[str] = []
    role: Role = Role.MIXED
    lifetime_seconds: float = ORDER_LIFETIME_SECONDS


class EngineState(msgspec.Struct, frozen=True):
    """Report the state of the engine of one instance.

    `running` and `waiting` count requests and may be seconds old.  `held`
    names the weights that a load would not have to fetch, `step_seconds`
    is the time between two tokens, 0 where the engine does not report it.
    """

    instance: ids.InstanceId
    phase: Phase
    epoch: ids.Epoch = ids.Epoch(0)
    group: ids.GroupId | None = None
    service: ids.ServiceName = ids.ServiceName("")
    version: ids.VersionName = ids.VersionName("")
    running: int = 0
    waiting: int = 0
    adapters: list[str] = []
    role: Role = Role.MIXED
    held: list[str] = []
    step_seconds: float = 0.0
