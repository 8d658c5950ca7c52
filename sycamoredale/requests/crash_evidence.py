"""Keep what daemons know of requests that ran on lost endpoints.

Each daemon sees a part of the losses and answers of a request.  The evidence
of two daemons is merged into the same state in any order: of the reports of
one loss the earliest counts, and an answer refutes the losses before it and
shortly after it.  Evidence is exchanged with ages, so that it expires at the
same time everywhere, however late a daemon is told.
"""

import bisect
import collections.abc
import dataclasses
import typing
from typing import Final

import msgspec
import xxhash

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.requests import part_evidence

RETENTION_SECONDS: Final = 3600.0
MAX_FINGERPRINTS: Final = 4096
MAX_LOSSES_PER_FINGERPRINT: Final = 32
# Of answered requests; those that are asked for often stay.
MAX_ANSWERED: Final = 1024
# Of answered requests that were on lost endpoints.
MAX_CONTESTED: Final = 1024
# At most about 350 KB together.
MAX_SENT_REQUESTS: Final = 512
MAX_SENT_LOSSES: Final = 8
# An age is that of the moment of sending, so a report makes an answer seem
# later by the time that it takes.
TRANSFER_TOLERANCE_SECONDS: Final = 1.0
NO_EVIDENCE: Final = ""


class LossReport(msgspec.Struct, array_like=True, frozen=True):
    """Report the loss of an endpoint that had a request."""

    incarnation: ids.IncarnationKey
    ms_ago: int
    domain: ids.DomainName
    alone: bool


class RequestReport(msgspec.Struct, array_like=True, frozen=True):
    """Report what is known of a request.

    `answered_ms_ago` is -1 without an answer.
    """

    fingerprint: ids.Fingerprint
    losses: list[LossReport]
    answered_ms_ago: int = -1


class Loss(typing.NamedTuple):
    """Record the loss of an endpoint that had a request.

    `alone` is set if the daemon had no other request on the endpoint.
    """

    at: clock.MonotonicTime
    domain: ids.DomainName
    alone: bool


Losses = dict[ids.IncarnationKey, Loss]
_LossOfRequest = tuple[
    clock.MonotonicTime, ids.IncarnationKey, ids.Fingerprint
]
_TimeByFingerprint = dict[ids.Fingerprint, clock.MonotonicTime]


@dataclasses.dataclass
class CrashEvidence:
    """Collect the losses and the last answer of each request.

    `revision` increases with each change of the losses, and with the first
    answer to a request that has any.
    """

    losses_by_fingerprint: dict[ids.Fingerprint, Losses] = dataclasses.field(
        default_factory=dict
    )
    answered_at_by_fingerprint: _TimeByFingerprint = dataclasses.field(
        default_factory=dict
    )
    revision: int = 0
    # Answers to requests that were on lost endpoints.  Kept apart, since the
    # answers to other requests would displace them within seconds.
    _contested_at_by_fingerprint: _TimeByFingerprint = dataclasses.field(
        default_factory=dict
    )
    # In the order of their times, as of the revision.
    _losses_by_domain: dict[ids.DomainName, list[_LossOfRequest]] = (
        dataclasses.field(default_factory=dict)
    )
    _sorted_revision: int = 0

    def recent_losses(
        self, fingerprint: ids.Fingerprint, now: clock.MonotonicTime
    ) -> Losses:
        """Return the losses of a request that are not too old."""
        losses = self.losses_by_fingerprint.get(fingerprint, {})
        since = now - RETENTION_SECONDS
        return {key: loss for key, loss in losses.items() if loss.at > since}

    def losses_near(
        self, loss: Loss, seconds: float
    ) -> collections.abc.Iterator[tuple[ids.IncarnationKey, ids.Fingerprint]]:
        """Yield what was lost in the domain of a loss at about its time."""
        if self._sorted_revision != self.revision:
            self._sort_losses()
        losses = self._losses_by_domain.get(loss.domain, [])
        first = bisect.bisect_left(losses, loss.at - seconds, key=_time_of)
        last = bisect.bisect_right(losses, loss.at + seconds, key=_time_of)
        for index in range(first, last):
            _, incarnation, fingerprint = losses[index]
            yield incarnation, fingerprint

    def _sort_losses(self) -> None:
        self._sorted_revision = self.revision
        self._losses_by_domain = {}
        for fingerprint, losses in self.losses_by_fingerprint.items():
            for incarnation, loss in losses.items():
                self._losses_by_domain.setdefault(loss.domain, []).append(
                    (loss.at, incarnation, fingerprint)
                )
        for entries in self._losses_by_domain.values():
            entries.sort()

    def answered_at(self, fingerprint: ids.Fingerprint) -> clock.MonotonicTime:
        """Return the time of the last known answer, NEVER without any."""
        return max(
            self.answered_at_by_fingerprint.get(
                fingerprint, part_evidence.NEVER
            ),
            self._contested_at_by_fingerprint.get(
                fingerprint, part_evidence.NEVER
            ),
        )

    def is_refuted(
        self, fingerprint: ids.Fingerprint, lost_at: clock.MonotonicTime
    ) -> bool:
        """Return whether an answer refutes a loss at this time."""
        answered_at = self.answered_at(fingerprint)
        return lost_at < answered_at + part_evidence.ANSWER_CLEARS_SECONDS

    def record_loss(
        self,
        fingerprint: ids.Fingerprint,
        incarnation: ids.IncarnationKey,
        loss: Loss,
        now: clock.MonotonicTime,
    ) -> bool:
        """Record a loss that is not refuted; return whether it is new."""
        if fingerprint in self.answered_at_by_fingerprint:
            self._contest(fingerprint)
        if self.is_refuted(fingerprint, loss.at):
            return False
        losses = self.recent_losses(fingerprint, now)
        known = losses.get(incarnation)
        if known is not None and known.at <= loss.at:
            return False
        self.revision += 1
        losses[incarnation] = loss
        # Inserted last, which orders the fingerprints by their last loss.
        self.losses_by_fingerprint.pop(fingerprint, None)
        self.losses_by_fingerprint[fingerprint] = _latest(
            losses, MAX_LOSSES_PER_FINGERPRINT
        )
        self._drop_oldest(now)
        return known is None

    def record_answer(
        self, fingerprint: ids.Fingerprint, at: clock.MonotonicTime
    ) -> int:
        """Record an answer and return how many losses it refutes."""
        known_at = self.answered_at_by_fingerprint.pop(fingerprint, at)
        self.answered_at_by_fingerprint[fingerprint] = max(at, known_at)
        _limit(self.answered_at_by_fingerprint, MAX_ANSWERED)
        losses = self.losses_by_fingerprint.pop(fingerprint, {})
        if losses or fingerprint in self._contested_at_by_fingerprint:
            self._contest(fingerprint)
        left = {
            key: loss
            for key, loss in losses.items()
            if not self.is_refuted(fingerprint, loss.at)
        }
        if left:
            self.losses_by_fingerprint[fingerprint] = left
        self.revision += len(left) < len(losses)
        return len(losses) - len(left)

    def _contest(self, fingerprint: ids.Fingerprint) -> None:
        """Keep the answer to a request that was on a lost endpoint."""
        answered_at = self.answered_at(fingerprint)
        self.revision += fingerprint not in self._contested_at_by_fingerprint
        self._contested_at_by_fingerprint.pop(fingerprint, None)
        self._contested_at_by_fingerprint[fingerprint] = answered_at
        _limit(self._contested_at_by_fingerprint, MAX_CONTESTED)

    def _drop_oldest(self, now: clock.MonotonicTime) -> None:
        _limit(self.losses_by_fingerprint, MAX_FINGERPRINTS)
        oldest = next(iter(self.losses_by_fingerprint))
        while not self.recent_losses(oldest, now):
            del self.losses_by_fingerprint[oldest]
            if not self.losses_by_fingerprint:
                return
            oldest = next(iter(self.losses_by_fingerprint))

    def reports(self, now: clock.MonotonicTime) -> list[RequestReport]:
        """Return the evidence for a peer, the strongest if it is too much."""
        reports = map(lambda f: self._report(f, now), self._disputed())
        known = [r for r in reports if r.losses or r.answered_ms_ago >= 0]
        known.sort(key=_strength, reverse=True)
        return known[:MAX_SENT_REQUESTS]

    def _disputed(self) -> collections.abc.Set[ids.Fingerprint]:
        """Return the requests that were on lost endpoints."""
        return (
            self.losses_by_fingerprint.keys()
            | self._contested_at_by_fingerprint.keys()
        )

    def _report(
        self, fingerprint: ids.Fingerprint, now: clock.MonotonicTime
    ) -> RequestReport:
        losses = _latest(self.recent_losses(fingerprint, now), MAX_SENT_LOSSES)
        answered_at = self._contested_at_by_fingerprint.get(
            fingerprint, part_evidence.NEVER
        )
        return RequestReport(
            fingerprint,
            [
                LossReport(
                    key, clock.ms_since(loss.at, now), loss.domain, loss.alone
                )
                for key, loss in losses.items()
            ],
            (
                clock.ms_since(answered_at, now)
                if answered_at > now - RETENTION_SECONDS
                else -1
            ),
        )

    def merge(
        self,
        reports: collections.abc.Iterable[RequestReport],
        now: clock.MonotonicTime,
    ) -> int:
        """Apply the evidence of a peer; return how many reports had news."""
        return sum([self._merge_report(report, now) for report in reports])

    def _merge_report(
        self, report: RequestReport, now: clock.MonotonicTime
    ) -> bool:
        has_news = False
        if report.answered_ms_ago >= 0:
            at = clock.ms_before(report.answered_ms_ago, now)
            known_at = self.answered_at(report.fingerprint)
            has_news = at > known_at + TRANSFER_TOLERANCE_SECONDS
            if has_news:
                self.record_answer(report.fingerprint, at)
            self._contest(report.fingerprint)
        for item in report.losses:
            lost_at = clock.ms_before(item.ms_ago, now)
            if lost_at > now - RETENTION_SECONDS:
                loss = Loss(lost_at, item.domain, item.alone)
                has_news |= self.record_loss(
                    report.fingerprint, item.incarnation, loss, now
                )
        return has_news


def digest(reports: collections.abc.Iterable[RequestReport]) -> str:
    """Return a hash of the evidence without its times."""
    lines = sorted(
        " ".join(
            (
                report.fingerprint,
                "answered" if report.answered_ms_ago >= 0 else "",
                *sorted(loss.incarnation for loss in report.losses),
            )
        )
        for report in reports
    )
    if not lines:
        return NO_EVIDENCE
    return xxhash.xxh3_64_hexdigest("\n".join(lines).encode())


def _time_of(entry: _LossOfRequest) -> clock.MonotonicTime:
    return entry[0]


def _strength(report: RequestReport) -> tuple[bool, float]:
    """Rank requests with several losses first, then by their latest news."""
    ages = [loss.ms_ago for loss in report.losses]
    if report.answered_ms_ago >= 0:
        ages.append(report.answered_ms_ago)
    return len(report.losses) > 1, -min(ages)


def _latest(losses: Losses, count: int) -> Losses:
    ordered = sorted(losses.items(), key=lambda entry: entry[1].at)
    return dict(ordered[-count:])


def _limit(
    by_fingerprint: dict[ids.Fingerprint, typing.Any], count: int
) -> None:
    """Drop the entries that were inserted first."""
    while len(by_fingerprint) > count:
        del by_fingerprint[next(iter(by_fingerprint))]
