"""Decide whether a request with a part in quarantine may be sent.

Such a request is refused, unless this daemon is granted a trial of the part.
"""

import collections.abc
import dataclasses

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import ids
from sycamoredale.requests import part_quarantine

ClaimTrial = collections.abc.Callable[
    [ids.PromptPartKey], collections.abc.Awaitable[bool]
]


async def deny_trial(part: ids.PromptPartKey) -> bool:
    """Grant no trial, without a store to count them."""
    del part
    return False


@dataclasses.dataclass
class PartAdmission:
    """Admit requests by the parts of their prompts."""

    quarantine: part_quarantine.PartQuarantine = dataclasses.field(
        default_factory=part_quarantine.PartQuarantine
    )
    claim_trial: ClaimTrial = deny_trial

    async def admit(
        self,
        parts: collections.abc.Sequence[ids.PromptPartKey],
        now: clock.MonotonicTime,
    ) -> ids.PromptPartKey | None:
        """Return the part that the request may try, None without one.

        Raises Refusal if a part is in quarantine and no trial is granted.
        """
        trial_part = None
        part = self.quarantine.find_quarantined(parts)
        if part is not None and self.quarantine.is_trial_due(part, now):
            if await self.claim_trial(part):
                trial_part = part
        blocking = self.find_blocking(parts, trial_part)
        if blocking is not None:
            raise self.quarantine.refusal(
                blocking, error_codes.Execution.NOT_RUN, now
            )
        return trial_part

    def find_blocking(
        self,
        parts: collections.abc.Iterable[ids.PromptPartKey],
        trial_part: ids.PromptPartKey | None = None,
    ) -> ids.PromptPartKey | None:
        """Return a part for which the request may not be sent now, if any."""
        return self.quarantine.find_quarantined(
            part for part in parts if part != trial_part
        )
