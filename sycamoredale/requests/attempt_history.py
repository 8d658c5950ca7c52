"""Record the attempts of one call."""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.requests import call as call_module
from sycamoredale.requests import poison

MAX_ATTEMPTS: Final = 6
NO_ENDPOINT_RETRY_SECONDS: Final = 2.0


@dataclasses.dataclass
class AttemptHistory:
    """Record the endpoints that a call tried and whether it may have run.

    `tried` contains the endpoints of all attempts.  `lost` contains those that
    failed and, for an idempotent call, those that refused the request or were
    unreachable.  It does not contain those on which only the connection broke.
    `trial_part` is the part in quarantine that the call may try once.
    """

    call: call_module.Call
    attempts: int = 0
    crashes: int = 0
    poisoned: bool = False
    part_keys: tuple[ids.PromptPartKey, ...] = ()
    trial_part: ids.PromptPartKey | None = None
    execution: error_codes.Execution = error_codes.Execution.NOT_RUN
    lost: set[ids.EndpointId] = dataclasses.field(default_factory=set)
    tried: set[ids.EndpointId] = dataclasses.field(default_factory=set)

    def may_attempt(self) -> bool:
        """Return whether another attempt is within the limits."""
        return (
            self.attempts < MAX_ATTEMPTS
            and self.crashes < poison.MAX_CRASHES_PER_CALL
            and not self.poisoned
        )

    def excluded_sets(
        self,
    ) -> collections.abc.Iterator[collections.abc.Set[ids.EndpointId]]:
        """Yield the sets of endpoints to exclude, in order of preference.

        The second set allows endpoints on which only the connection broke,
        since such an endpoint is better than none.
        """
        yield self.tried
        if self.lost != self.tried:
            yield self.lost

    def refusal(self) -> errors.Refusal:
        """Return the refusal of a call after its last attempt."""
        if self.poisoned or self.crashes >= poison.MAX_CRASHES_PER_CALL:
            return poison.refusal(self.crashes, self.execution)
        service = self.call.service.name
        if self.execution is error_codes.Execution.NOT_RUN:
            return errors.Refusal(
                error_codes.NO_ENDPOINT,
                f"no endpoint of service {service!r} can take the request now",
                retry_after=NO_ENDPOINT_RETRY_SECONDS,
            )
        return errors.Refusal(
            error_codes.ENDPOINT_FAILED,
            f"an endpoint of service {service!r} failed after the request "
            "was sent to it",
            self.execution,
            NO_ENDPOINT_RETRY_SECONDS if self.call.idempotent else None,
        )
