"""Keep the evidence on the parts of prompts that ran on lost endpoints.

Requests share the parts of their prompts, so a part is an identity that
requests have in common which are otherwise all different.  The loss of an
endpoint counts against each part of the requests on it.  A complete answer
counts for each part of its request: a part that crashes endpoints has none.
"""

import collections.abc
import dataclasses
from typing import Final

import xxhash

from sycamoredale import clock
from sycamoredale import ids

# A popular part is answered several times a second, so this covers the gaps
# between its answers.
ANSWER_CLEARS_SECONDS: Final = 2.0
RETENTION_SECONDS: Final = 600.0
MAX_REQUESTS_PER_LOSS: Final = 4
# A fabric domain that goes dark takes its endpoints at about the same time.
SIMULTANEOUS_SECONDS: Final = 0.05
NEVER: Final = clock.MonotonicTime(float("-inf"))
NO_DOMAIN: Final = ids.DomainName("")


def part_key(service: ids.ServiceName, part: str) -> ids.PromptPartKey:
    """Return the key of a part of prompts for a service."""
    digest = xxhash.xxh3_64_hexdigest(f"{service}\0{part}".encode())
    return ids.PromptPartKey(digest)


def incarnation_key(
    endpoint: ids.InstanceId, started_ms: int
) -> ids.IncarnationKey:
    """Return the key of an endpoint until it starts again."""
    digest = xxhash.xxh64_hexdigest(f"{endpoint}:{started_ms}".encode())
    return ids.IncarnationKey(digest)


@dataclasses.dataclass
class Loss:
    """Record when an endpoint was lost, and requests on it with the part."""

    at: clock.MonotonicTime
    domain: ids.DomainName = NO_DOMAIN
    requests: set[ids.RequestId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class PartEvidence:
    """Collect the losses and the last complete answer of one part.

    `answered_at` is the last answer that any daemon reported, and
    `own_answered_at` the last one of this daemon.  `position` is the last
    place in a prompt at which the part was seen.
    """

    loss_by_incarnation: dict[ids.IncarnationKey, Loss] = dataclasses.field(
        default_factory=dict
    )
    answered_at: clock.MonotonicTime = NEVER
    own_answered_at: clock.MonotonicTime = NEVER
    position: int = 0

    def record_loss(
        self,
        incarnation: ids.IncarnationKey,
        requests: collections.abc.Iterable[ids.RequestId],
        at: clock.MonotonicTime,
        domain: ids.DomainName = NO_DOMAIN,
    ) -> bool:
        """Merge the report of a loss; return whether it adds evidence.

        Several reports of one loss keep the earliest time.
        """
        loss = self.loss_by_incarnation.get(incarnation)
        if loss is None:
            loss = self.loss_by_incarnation[incarnation] = Loss(at, domain)
            is_new = True
        else:
            loss.at = min(loss.at, at)
            is_new = False
        for request in requests:
            if len(loss.requests) >= MAX_REQUESTS_PER_LOSS:
                break
            is_new = is_new or request not in loss.requests
            loss.requests.add(request)
        return is_new

    def record_answer(self, at: clock.MonotonicTime) -> None:
        """Record a complete answer to a request with the part."""
        self.answered_at = max(self.answered_at, at)

    def counted_losses(
        self, now: clock.MonotonicTime
    ) -> dict[ids.IncarnationKey, Loss]:
        """Return the losses that no answer refutes."""
        since = max(
            self.answered_at + ANSWER_CLEARS_SECONDS, now - RETENTION_SECONDS
        )
        return {
            incarnation: loss
            for incarnation, loss in self.loss_by_incarnation.items()
            if loss.at > since
        }

    def last_loss_at(self) -> clock.MonotonicTime:
        """Return the time of the latest loss, NEVER if there is none."""
        return max(
            (x.at for x in self.loss_by_incarnation.values()), default=NEVER
        )


def count_separate(losses: collections.abc.Iterable[Loss]) -> int:
    """Count losses; those of a domain at about the same time count once."""
    count = 0
    last_by_domain: dict[ids.DomainName, clock.MonotonicTime] = {}
    for loss in sorted(losses, key=lambda loss: loss.at):
        last = last_by_domain.get(loss.domain, NEVER)
        if loss.at > last + SIMULTANEOUS_SECONDS:
            count += 1
            last_by_domain[loss.domain] = loss.at
    return count
