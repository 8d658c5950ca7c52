"""Define the orders to model engines and the states they report."""

import enum
from typing import Final

import msgspec

from sycamoredale import ids

ORDER_LIFETIME_SECONDS: Final = 2.0


class Action(enum.Enum):
    """List the operations that an order can request."""

    LOAD = "load"
    UNLOAD = "unload"
    DRAIN = "drain"
    RESUME = "resume"
    UPDATE = "update"


class Role(enum.Enum):
    """List the inference phases that a group can serve."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Phase(enum.Enum):
    """List the states of an engine."""

    EMPTY = "empty"
    LOADING = "loading"
    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"
    FAILED = "failed"


class Order(msgspec.Struct, frozen=True):
    """Request a change of the engine of one instance.

    `epoch` is the fencing token.  `members` are the addresses of the whole
    group, the leader first.  An engine ignores an order that it cannot begin
    within `lifetime_seconds` of its arrival.
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
    names the weights that can be loaded without a fetch.  `step_seconds` is
    the time between two tokens, or 0 if the engine does not report it.
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
