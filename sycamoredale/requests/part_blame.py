"""Decide which parts of prompts are to blame for lost endpoints.

A sound part is on a lost endpoint only by chance, or because requests
with the crashing part have it as well.  So parts are compared: the parts
that were answered least recently, and of these the ones with most losses,
are blamed first, and the losses that they explain count against no other.

Parts of the same requests may have the same losses and no answer yet.  Then
the last one in the prompt is blamed, which the fewest requests have.  If it is
sound, the others collect further losses that it does not explain; a sound part
that all requests have would not be found out in this way.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.requests import part_evidence

MIN_LOSSES: Final = 3
# One request that is sent again and again proves nothing about its parts.
MIN_REQUESTS: Final = 3
# Parts with this share of the losses of another one are as suspect.
RIVAL_SHARE: Final = 0.75

_Losses = dict[ids.IncarnationKey, part_evidence.Loss]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Name the parts to blame and the lost endpoints that they explain."""

    blamed: frozenset[ids.PromptPartKey] = frozenset()
    explained: frozenset[ids.IncarnationKey] = frozenset()


def reach_verdict(
    evidence_by_part: collections.abc.Mapping[
        ids.PromptPartKey, part_evidence.PartEvidence
    ],
    now: clock.MonotonicTime,
) -> Verdict:
    """Return which parts crash endpoints, as far as the evidence shows."""
    losses_by_part = {
        part: losses
        for part, evidence in evidence_by_part.items()
        if _is_sufficient(losses := evidence.counted_losses(now))
    }
    ranked = sorted(
        losses_by_part,
        key=lambda part: (
            evidence_by_part[part].answered_at,
            -len(losses_by_part[part]),
            part,
        ),
    )
    blamed: set[ids.PromptPartKey] = set()
    explained: set[ids.IncarnationKey] = set()
    for part in ranked:
        while part not in blamed:
            left = _without(losses_by_part[part], explained)
            if not _is_sufficient(left):
                break
            rivals = [
                rival
                for rival in ranked
                if rival not in blamed
                and _is_as_suspect(rival, part, left, losses_by_part)
                and evidence_by_part[rival].answered_at
                <= evidence_by_part[part].answered_at
            ]
            culprit = max(
                rivals, key=lambda rival: evidence_by_part[rival].position
            )
            blamed.add(culprit)
            explained.update(losses_by_part[culprit])
    return Verdict(frozenset(blamed), frozenset(explained))


def _is_as_suspect(
    rival: ids.PromptPartKey,
    part: ids.PromptPartKey,
    left: _Losses,
    losses_by_part: collections.abc.Mapping[ids.PromptPartKey, _Losses],
) -> bool:
    shared = left.keys() & losses_by_part[rival].keys()
    return rival == part or len(shared) >= RIVAL_SHARE * len(left)


def _without(
    losses: _Losses, explained: collections.abc.Set[ids.IncarnationKey]
) -> _Losses:
    return {k: loss for k, loss in losses.items() if k not in explained}


def _is_sufficient(losses: _Losses) -> bool:
    if len(losses) < MIN_LOSSES:
        return False
    requests = {r for loss in losses.values() for r in loss.requests}
    if len(requests) < MIN_REQUESTS:
        return False
    return part_evidence.count_separate(losses.values()) >= MIN_LOSSES
