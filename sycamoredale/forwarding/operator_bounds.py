"""Limit times and rates of the whole fleet, as set by the operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorBounds:
    """List what each daemon has to keep.

    A process is killed `grace_seconds` after it was told to stop.  A leaving
    instance gets no request after `drain_seconds`, a zone out of service none
    after `evacuation_seconds`, and a configuration is in force everywhere
    after `configuration_seconds`.  A daemon that had lost the store knows all
    changes `contact_seconds` after its return.  A head that lost a member
    fails after `stall_seconds`.  Retries are at most `retry_ratio` of the
    requests in a window, plus `retry_burst`.
    """

    grace_seconds: float
    drain_seconds: float
    configuration_seconds: float
    evacuation_seconds: float
    stall_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_burst: float
    cold_factor: float
    cold_burst: float
    load_window_seconds: float
    contact_seconds: float = 3.0
