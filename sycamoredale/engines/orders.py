"""Describe the orders and states that model engines exchange with us."""

import enum

import msgspec

from sycamoredale import ids


class Action(enum.Enum):
    """Name what an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    DRAIN = "drain"


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

    `members` are the addresses of the whole group, the leader first.
    """

    action: Action
    epoch: ids.Epoch
    group: ids.GroupId
    service: ids.ServiceName = ids.ServiceName("")
    version: ids.VersionName = ids.VersionName("")
    weights: str = ""
    adapters: list[str] = []
    members: list[str] = []


class EngineState(msgspec.Struct, frozen=True):
    """Report the state of the engine of one instance.

    `running` and `waiting` count requests and may be seconds old.
    """

    instance: ids.InstanceId
    phase: Phase
    epoch: ids.Epoch = ids.Epoch(0)
    group: ids.GroupId | None = None
    service: ids.ServiceName = ids.ServiceName("")
    version: ids.VersionName = ids.VersionName("")
    running: int = 0
    waiting: int = 0
