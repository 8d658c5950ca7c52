"""Distinguish the failure of a fabric domain from a fault of this daemon.

If a fabric domain fails, the instances of other domains stay reachable.  If
most probes of the last round failed, in several domains, this daemon has
probably lost its own network connection: it then changes nothing, releases
its leases and waits before it acquires any again.
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
LOG: Final = logs.get("groups.local_fault")


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeCount:
    """Count the probed instances of one domain and those that failed."""

    domain: ids.DomainName
    probed: int
    failed: int


@dataclasses.dataclass
class LocalFaultDetector:
    """Detect a local fault from the latest probe counts of all domains."""

    by_domain: dict[ids.DomainName, ProbeCount] = dataclasses.field(
        default_factory=dict
    )
    inactive_until: clock.MonotonicTime | None = None

    def update(self, count: ProbeCount, now: clock.MonotonicTime) -> bool:
        """Record a probe count and return whether a fault is suspected."""
        self.by_domain[count.domain] = count
        if is_local_fault(self.by_domain.values()):
            self.inactive_until = clock.MonotonicTime(now + INACTIVE_SECONDS)
            self.by_domain.clear()
            LOG.warning("local_fault_suspected", seconds=INACTIVE_SECONDS)
        return self.suspects_fault(now)

    def suspects_fault(self, now: clock.MonotonicTime) -> bool:
        """Return whether the daemon must stay inactive at this time."""
        until = self.inactive_until
        return until is not None and now < until

    def remove(self, domain: ids.DomainName) -> None:
        """Remove the count of a domain whose lease is no longer held."""
        self.by_domain.pop(domain, None)


def cross_check_targets(
    listed: collections.abc.Iterable[instances.Instance],
    domain: ids.DomainName,
) -> list[instances.Instance]:
    """Return one live instance from each of up to MAX_CROSS_CHECKS domains.

    The given domain is left out.
    """
    by_domain = {
        instance.domain: instance
        for instance in listed
        if instance.domain != domain
        and instance.state is instances.InstanceState.LIVE
    }
    return list(by_domain.values())[:MAX_CROSS_CHECKS]


def is_local_fault(counts: collections.abc.Iterable[ProbeCount]) -> bool:
    """Return whether the counts indicate a fault of this daemon."""
    probed_counts = [count for count in counts if count.probed]
    failing = [
        c for c in probed_counts if c.failed > MAX_FAILED_SHARE * c.probed
    ]
    if len(failing) < MIN_DOMAINS:
        return False
    probed = sum(count.probed for count in probed_counts)
    failed = sum(count.failed for count in probed_counts)
    return failed > MAX_FAILED_SHARE * probed
