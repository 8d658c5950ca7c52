"""Refuse requests with a part of their prompt that crashes endpoints.

A part is quarantined while the evidence blames it, and once a record of it is
in the store, until a request with it was answered completely.  A part in
quarantine can never prove itself sound, so from time to time one request of
all daemons is let through as a trial.  The record in the store numbers the
trials; a conditional update of it grants one.

Daemons exchange their evidence and the versions of the records in their peer
updates.  A daemon that was cut off, frozen or started later thus learns the
state of its peers from the next update of any of them.
"""

import collections
import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import exposition
from sycamoredale.observability import logs
from sycamoredale.requests import part_blame
from sycamoredale.requests import part_evidence
from sycamoredale.requests import part_updates

FIRST_TRIAL_SECONDS: Final = 20.0
TRIAL_INTERVAL_FACTOR: Final = 4.0
MAX_TRIAL_INTERVAL_SECONDS: Final = 3600.0
CLAIM_RETRY_SECONDS: Final = 5.0
MAX_INCARNATIONS: Final = 128
# How long peers hear of the own answers to a part after a report of theirs.
CONTEST_SECONDS: Final = 5.0
MAX_TRACKED_PARTS: Final = 512
MAX_REMEMBERED_ANSWERS: Final = 4096
# Peers hear of an answer that clears a part before the part is dropped.
CLEARED_KEPT_SECONDS: Final = 30.0
LOG: Final = logs.get("requests.part_quarantine")


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Describe the stored record of a part; version ABSENT if unstored."""

    version: ids.ObjectVersion
    trials: int


UNSTORED: Final = Record(objects.ABSENT_VERSION, 0)


@dataclasses.dataclass
class Quarantine:
    """Hold a part in quarantine since `since`, until a trial proves it."""

    since: clock.MonotonicTime
    record: Record
    next_trial_at: clock.MonotonicTime

    def postpone_trial(self, now: clock.MonotonicTime) -> None:
        """Put off the next claim after one that was not granted."""
        earliest = clock.MonotonicTime(now + CLAIM_RETRY_SECONDS)
        self.next_trial_at = max(self.next_trial_at, earliest)


@dataclasses.dataclass
class PartQuarantine:
    """Track the parts that ran on lost endpoints and refuse those to blame.

    `removals_by_part` has the records of cleared parts that may still be in
    the store.
    """

    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    evidence_by_part: dict[ids.PromptPartKey, part_evidence.PartEvidence] = (
        dataclasses.field(default_factory=dict)
    )
    quarantine_by_part: dict[ids.PromptPartKey, Quarantine] = (
        dataclasses.field(default_factory=dict)
    )
    cleared_by_part: dict[ids.PromptPartKey, Record] = dataclasses.field(
        default_factory=dict
    )
    removals_by_part: dict[ids.PromptPartKey, Record] = dataclasses.field(
        default_factory=dict
    )
    outbox: part_updates.Outbox = dataclasses.field(
        default_factory=part_updates.Outbox
    )
    _verdict: part_blame.Verdict = part_blame.Verdict()
    _lost_at_by_incarnation: dict[ids.IncarnationKey, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    _contested_at_by_part: dict[ids.PromptPartKey, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    _answered_at_by_part: collections.OrderedDict[
        ids.PromptPartKey, clock.MonotonicTime
    ] = dataclasses.field(default_factory=collections.OrderedDict)

    def find_quarantined(
        self, parts: collections.abc.Iterable[ids.PromptPartKey]
    ) -> ids.PromptPartKey | None:
        """Return the first part that is in quarantine, None without any."""
        if not self.quarantine_by_part:
            return None
        return next((p for p in parts if p in self.quarantine_by_part), None)

    def is_trial_due(
        self, part: ids.PromptPartKey, now: clock.MonotonicTime
    ) -> bool:
        """Return whether a trial of the part may be claimed."""
        quarantine = self.quarantine_by_part.get(part)
        return quarantine is not None and now >= quarantine.next_trial_at

    def refusal(
        self,
        part: ids.PromptPartKey,
        execution: error_codes.Execution,
        now: clock.MonotonicTime,
    ) -> errors.Refusal:
        """Return the refusal of a request with a part in quarantine."""
        quarantine = self.quarantine_by_part[part]
        losses = self._losses(part)
        self.metrics.count("prompt_parts", "refused")
        return errors.Refusal(
            error_codes.PROMPT_PART_CRASHES_ENDPOINTS,
            f"{losses} endpoints were lost with requests that have part "
            f"{part} in their prompts; such requests are refused since "
            f"{now - quarantine.since:.1f} s",
            execution,
            retry_after=max(1.0, quarantine.next_trial_at - now),
        )

    def record_loss(
        self,
        parts: collections.abc.Iterable[ids.PromptPartKey],
        incarnation: ids.IncarnationKey,
        request: ids.RequestId,
        now: clock.MonotonicTime,
        domain: ids.DomainName = part_evidence.NO_DOMAIN,
    ) -> None:
        """Count the loss of an endpoint that had a request."""
        self._admit_incarnation(incarnation, now)
        for position, part in enumerate(parts):
            evidence = self._evidence_of(part, now)
            evidence.position = max(evidence.position, position)
            evidence.record_loss(incarnation, (request,), now, domain)
        self.outbox.mark_changed()
        self._evaluate(now)

    def record_answer(
        self,
        parts: collections.abc.Iterable[ids.PromptPartKey],
        now: clock.MonotonicTime,
    ) -> None:
        """Count a complete answer to a request with the parts."""
        for part in parts:
            self._answered_at_by_part[part] = now
            self._answered_at_by_part.move_to_end(part)
            evidence = self.evidence_by_part.get(part)
            if evidence is not None:
                evidence.record_answer(now)
                evidence.own_answered_at = now
            if part in self.quarantine_by_part:
                self._clear(part, now, "answered")
        while len(self._answered_at_by_part) > MAX_REMEMBERED_ANSWERS:
            self._answered_at_by_part.popitem(last=False)

    def apply_record(
        self,
        part: ids.PromptPartKey,
        record: Record,
        now: clock.MonotonicTime,
    ) -> None:
        """Apply a record of the store, unless a later one is known."""
        cleared = self.cleared_by_part.get(part)
        if cleared is not None and record.version <= cleared.version:
            return
        known = self.quarantine_by_part.get(part)
        if known is None:
            self._evidence_of(part, now)
            self._begin(part, record, now)
        elif record.version > known.record.version:
            known.record = record
            known.next_trial_at = _next_trial_at(record, now)

    def receive_updates(
        self,
        updates: collections.abc.Iterable[part_updates.PartUpdate],
        now: clock.MonotonicTime,
    ) -> None:
        """Merge the evidence of a peer."""
        # Most updates repeat what is known, and a verdict is not free.
        if any([self._merge(update, now) for update in updates]):
            self._evaluate(now)

    def take_updates(
        self, now: clock.MonotonicTime
    ) -> list[part_updates.PartUpdate]:
        """Return the evidence for the next peer update, if one is due."""
        if not self.evidence_by_part or not self.outbox.is_due(now):
            return []
        self._drop_settled(now)
        losses_by_part = {
            part: self._unexplained_losses(part, now)
            for part in self.evidence_by_part
        }
        ranked = sorted(
            (
                part
                for part, losses in losses_by_part.items()
                if losses or part in self.quarantine_by_part
            ),
            key=lambda part: (
                part not in self.quarantine_by_part,
                -len(losses_by_part[part]),
            ),
        )[: part_updates.MAX_PARTS]
        answered = [
            part
            for part, contested_at in self._contested_at_by_part.items()
            if now - contested_at < CONTEST_SECONDS
            and part in self.evidence_by_part
            and part not in ranked
        ][-part_updates.MAX_ANSWERED_PARTS :]
        return [
            *(self._update_of(p, losses_by_part[p], now) for p in ranked),
            *(self._update_of(p, {}, now) for p in answered),
        ]

    def _unexplained_losses(
        self, part: ids.PromptPartKey, now: clock.MonotonicTime
    ) -> dict[ids.IncarnationKey, part_evidence.Loss]:
        """Return the losses of a part that peers have to know."""
        evidence = self.evidence_by_part[part]
        if part in self.quarantine_by_part:
            return evidence.loss_by_incarnation
        losses = evidence.counted_losses(now)
        explained = self._verdict.explained
        return {k: loss for k, loss in losses.items() if k not in explained}

    def _merge(
        self, update: part_updates.PartUpdate, now: clock.MonotonicTime
    ) -> bool:
        """Merge an update; return whether it may change a verdict."""
        evidence = self._evidence_of(update.part, now)
        is_new = False
        evidence.position = max(evidence.position, update.position)
        for loss in update.losses:
            at = clock.ms_before(loss.age_ms, now)
            if self._admit_incarnation(loss.incarnation, at):
                is_new |= evidence.record_loss(
                    loss.incarnation, loss.requests, at, loss.domain
                )
        if update.losses and evidence.own_answered_at != part_evidence.NEVER:
            self._contest(update.part, is_new, now)
        if update.answered_ms_ago >= 0:
            evidence.record_answer(
                clock.ms_before(update.answered_ms_ago, now)
            )
            is_new |= update.part in self.quarantine_by_part
        if update.version != objects.ABSENT_VERSION:
            record = Record(update.version, update.trials)
            self.apply_record(update.part, record, now)
        return is_new

    def _contest(
        self,
        part: ids.PromptPartKey,
        is_new: bool,
        now: clock.MonotonicTime,
    ) -> None:
        """Tell peers of the own answers to a part that they have losses of."""
        self._contested_at_by_part.pop(part, None)
        self._contested_at_by_part[part] = now
        if is_new:
            self.outbox.mark_changed()

    def _admit_incarnation(
        self, incarnation: ids.IncarnationKey, at: clock.MonotonicTime
    ) -> bool:
        """Return whether a lost endpoint counts; forget the oldest one.

        It is forgotten for all parts at once, since the loss would otherwise
        count against the parts that are not to blame for it.
        """
        if incarnation in self._lost_at_by_incarnation:
            return True
        if len(self._lost_at_by_incarnation) >= MAX_INCARNATIONS:
            oldest = min(
                self._lost_at_by_incarnation,
                key=self._lost_at_by_incarnation.__getitem__,
            )
            if at < self._lost_at_by_incarnation[oldest]:
                return False
            del self._lost_at_by_incarnation[oldest]
            for evidence in self.evidence_by_part.values():
                evidence.loss_by_incarnation.pop(oldest, None)
        self._lost_at_by_incarnation[incarnation] = at
        return True

    def _update_of(
        self,
        part: ids.PromptPartKey,
        losses: dict[ids.IncarnationKey, part_evidence.Loss],
        now: clock.MonotonicTime,
    ) -> part_updates.PartUpdate:
        evidence = self.evidence_by_part[part]
        quarantine = self.quarantine_by_part.get(part)
        record = quarantine.record if quarantine else UNSTORED
        answered_at = evidence.own_answered_at
        return part_updates.PartUpdate(
            part,
            part_updates.encode_losses(losses, now),
            (
                -1
                if answered_at == part_evidence.NEVER
                else int(1000 * (now - answered_at))
            ),
            record.version,
            record.trials,
            evidence.position,
        )

    def _evidence_of(
        self, part: ids.PromptPartKey, now: clock.MonotonicTime
    ) -> part_evidence.PartEvidence:
        known = self.evidence_by_part.get(part)
        if known is not None:
            return known
        answered_at = self._answered_at_by_part.get(part, part_evidence.NEVER)
        evidence = part_evidence.PartEvidence(
            answered_at=answered_at, own_answered_at=answered_at
        )
        self.evidence_by_part[part] = evidence
        if len(self.evidence_by_part) > MAX_TRACKED_PARTS:
            self._drop_settled(now)
        if len(self.evidence_by_part) > MAX_TRACKED_PARTS:
            oldest = min(
                (p for p in self.evidence_by_part if p != part),
                key=lambda p: (
                    p in self.quarantine_by_part,
                    self.evidence_by_part[p].last_loss_at(),
                ),
            )
            del self.evidence_by_part[oldest]
        return evidence

    def _drop_settled(self, now: clock.MonotonicTime) -> None:
        """Drop the evidence that counts for nothing any more."""
        settled = [
            part
            for part, evidence in self.evidence_by_part.items()
            if part not in self.quarantine_by_part
            and now - _last_report_at(evidence) > CLEARED_KEPT_SECONDS
            and not evidence.counted_losses(now)
        ]
        for part in settled:
            del self.evidence_by_part[part]
            self._contested_at_by_part.pop(part, None)

    def _evaluate(self, now: clock.MonotonicTime) -> None:
        self._verdict = part_blame.reach_verdict(self.evidence_by_part, now)
        blamed = self._verdict.blamed
        for part, quarantine in list(self.quarantine_by_part.items()):
            answered_at = self.evidence_by_part[part].answered_at
            if answered_at > quarantine.since:
                self._clear(part, now, "answered at a peer")
            elif part not in blamed and quarantine.record is UNSTORED:
                self._clear(part, now, "evidence refuted")
        for part in blamed - self.quarantine_by_part.keys():
            self._begin(part, UNSTORED, now)

    def _begin(
        self,
        part: ids.PromptPartKey,
        record: Record,
        now: clock.MonotonicTime,
    ) -> None:
        self.quarantine_by_part[part] = Quarantine(
            now, record, _next_trial_at(record, now)
        )
        self.metrics.count("prompt_parts", "quarantined")
        LOG.warning(
            "part_quarantined",
            part=part,
            version=record.version,
            trials=record.trials,
            losses=self._losses(part),
            evidence=part_updates.describe(
                self.evidence_by_part[part].loss_by_incarnation, now
            ),
        )
        self.outbox.mark_changed()

    def _clear(
        self, part: ids.PromptPartKey, now: clock.MonotonicTime, reason: str
    ) -> None:
        quarantine = self.quarantine_by_part.pop(part)
        if quarantine.record is not UNSTORED:
            self.cleared_by_part[part] = quarantine.record
            self.removals_by_part[part] = quarantine.record
        self.metrics.count("prompt_parts", "cleared")
        LOG.info(
            "part_cleared",
            part=part,
            reason=reason,
            version=quarantine.record.version,
            quarantined_seconds=round(now - quarantine.since, 3),
        )
        self.outbox.mark_changed()

    def _losses(self, part: ids.PromptPartKey) -> int:
        return len(self.evidence_by_part[part].loss_by_incarnation)


def _next_trial_at(
    record: Record, now: clock.MonotonicTime
) -> clock.MonotonicTime:
    seconds = FIRST_TRIAL_SECONDS * TRIAL_INTERVAL_FACTOR**record.trials
    return clock.MonotonicTime(now + min(seconds, MAX_TRIAL_INTERVAL_SECONDS))


def _last_report_at(
    evidence: part_evidence.PartEvidence,
) -> clock.MonotonicTime:
    return max(evidence.last_loss_at(), evidence.answered_at)
