"""Decide whether a domain is dark or this daemon is cut off.

A dark fabric domain leaves the instances of other domains reachable.  When
most probes of the last round failed, and they failed in several domains,
it is likelier that the daemon itself has lost its network: it then changes
nothing, gives back its leases and waits before it takes any again.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.object_api import instances
from sycamoredale.observability import logs

MAX_FAILED_SHARE: Final = 0.5
MIN_DOMAINS: Final = 2
MAX_CROSS_CHECKS: Final = 4
INACTIVE_SECONDS: Final = 15.0
LOG: Final = logs.get("groups.suspicion")


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeCount:
    """Count the instances of one domain that were probed and failed."""

    domain: ids.DomainName
    probed: int
    failed: int


@dataclasses.dataclass
class LocalFaultDetector:
    """Keep the counts of the last round by domain."""

    by_domain: dict[ids.DomainName, ProbeCount] = dataclasses.field(
        default_factory=dict
    )
    inactive_until: clock.MonotonicTime | None = None

    def update(self, count: ProbeCount, now: clock.MonotonicTime) -> bool:
        """Take a count and tell whether the daemon now suspects itself."""
        self.by_domain[count.domain] = count
        if is_local_fault(self.by_domain.values()):
            self.inactive_until = clock.MonotonicTime(now + INACTIVE_SECONDS)
            self.by_domain.clear()
            LOG.warning("stands_back", seconds=INACTIVE_SECONDS)
        return self.suspects_fault(now)

    def suspects_fault(self, now: clock.MonotonicTime) -> bool:
        """Tell whether the daemon stands back at this time."""
        until = self.inactive_until
        return until is not None and now < until

    def forget(self, domain: ids.DomainName) -> None:
        """Drop the count of a domain that is no longer held."""
        self.by_domain.pop(domain, None)


def cross_check_targets(
    listed: collections.abc.Iterable[instances.Instance],
    domain: ids.DomainName,
) -> list[instances.Instance]:
    """Return one live instance of each of some other domains."""
    by_domain = {
        instance.domain: instance
        for instance in listed
        if instance.domain != domain
        and instance.state is instances.InstanceState.LIVE
    }
    return list(by_domain.values())[:MAX_CROSS_CHECKS]


def is_local_fault(counts: collections.abc.Iterable[ProbeCount]) -> bool:
    """Tell whether the counts speak against this daemon itself."""
    probed_counts = [count for count in counts if count.probed]
    failing = [
        c for c in probed_counts if c.failed > MAX_FAILED_SHARE * c.probed
    ]
    if len(failing) < MIN_DOMAINS:
        return False
    probed = sum(count.probed for count in probed_counts)
    failed = sum(count.failed for count in probed_counts)
    return failed > MAX_FAILED_SHARE * probed
