"""Decide which non-idempotent request may run under an idempotency key.

A claim says that one attempt, and no other, may be dispatched under a key
of an organisation and service.  Claims live in shard objects.  Operations
change a shard in memory; `claim_writer` makes the change count by one
conditional update.  Every operation can be applied twice without harm,
because a claim carries the id of its attempt.

A released claim stays as a mark, so that a late copy of the operation that
took it cannot take it again.
"""

import dataclasses
import enum
import functools
import hashlib
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import ids

SHARD_COUNT: Final = 64
OUTCOME_BODY_BYTES: Final = 4096
TAKE_LIMIT_BYTES: Final = 800_000
RECORD_LIMIT_BYTES: Final = 900_000
MIN_RETENTION_SECONDS: Final = 3600.0
RETENTION_MARGIN: Final = 0.1


class ClaimState(enum.Enum):
    """State how far the attempt that holds a claim has come."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Outcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """Keep the answer of an endpoint; no body if it was too long."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record that one attempt may run; `claimed_at` serves expiry alone."""

    request_digest: str
    attempt: ids.RequestId
    owner: ids.DaemonId
    incarnation: ids.Incarnation
    claimed_at: float
    state: ClaimState = ClaimState.RUNNING
    outcome: Outcome | None = None


class Shard(msgspec.Struct):
    """Hold claims by the digest of organisation, service and key."""

    by_name: dict[str, Claim] = {}
    write_id: ids.WriteId = ids.WriteId("")


class Take(msgspec.Struct, frozen=True, tag="take"):
    """Ask for the right to dispatch."""

    name: str
    claim: Claim


class Record(msgspec.Struct, frozen=True, tag="record"):
    """Keep the outcome of an attempt, or that it will stay unknown."""

    name: str
    attempt: ids.RequestId
    outcome: Outcome | None = None


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Give up a claim of which no byte has left."""

    name: str
    claim: Claim


Operation = Take | Record | Release


class Decision(enum.Enum):
    """Name what an operation came to."""

    GRANTED = "granted"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"
    DONE = "done"


class Verdict(msgspec.Struct, frozen=True):
    """Tell the decision, and the claim that stands under the key."""

    decision: Decision
    claim: Claim | None = None


@dataclasses.dataclass
class OpenShard:
    """Hold a shard while operations are applied to it.

    `size_bytes` estimates the encoded size from above.
    """

    shard: Shard
    size_bytes: int
    changed: bool = False

    def put(self, name: str, claim: Claim) -> None:
        """Set the claim under a name."""
        self.shard.by_name[name] = claim
        self.size_bytes += len(msgspec.json.encode(claim)) + len(name) + 4
        self.changed = True

    def expire(self, now: clock.WallTime, retention_seconds: float) -> None:
        """Drop claims that are older than the retention and its margin."""
        kept_seconds = max(retention_seconds, MIN_RETENTION_SECONDS)
        oldest = now - kept_seconds * (1 + RETENTION_MARGIN)
        by_name = self.shard.by_name
        expired = [n for n, c in by_name.items() if c.claimed_at < oldest]
        for name in expired:
            del by_name[name]


def name_of(
    organisation: ids.OrganisationName,
    service: ids.ServiceName,
    key: ids.IdempotencyKey,
) -> str:
    """Return the name under which a key is claimed."""
    text = msgspec.json.encode([organisation, service, key])
    return hashlib.sha256(text).hexdigest()[:32]


def shard_of(name: str) -> int:
    """Return the number of the shard that holds a name."""
    return int(name[:8], 16) % SHARD_COUNT


def keep(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes
) -> Outcome:
    """Return the outcome to keep, without a body that is too long."""
    if len(body) > OUTCOME_BODY_BYTES:
        return Outcome(status)
    if sum(len(n) + len(v) for n, v in headers) > OUTCOME_BODY_BYTES:
        return Outcome(status)
    return Outcome(status, headers, body)


@functools.singledispatch
def apply(operation: Operation, target: OpenShard) -> Verdict:
    """Apply an operation to a shard and return the verdict."""
    raise TypeError(f"{operation!r} is no operation on claims")


@apply.register
def _(operation: Take, target: OpenShard) -> Verdict:
    known = target.shard.by_name.get(operation.name)
    claim = operation.claim
    if known is None:
        return _grant(operation, target)
    if known.attempt == claim.attempt:
        if known.state is ClaimState.RUNNING:
            return Verdict(Decision.GRANTED, known)
        return Verdict(Decision.RUNNING, known)
    if known.state is ClaimState.RELEASED:
        return _grant(operation, target)
    if known.request_digest != claim.request_digest:
        return Verdict(Decision.MISMATCH, known)
    if known.state is ClaimState.FINISHED:
        return Verdict(Decision.FINISHED, known)
    if known.state is ClaimState.UNKNOWN:
        return Verdict(Decision.UNKNOWN, known)
    return Verdict(Decision.RUNNING, known)


@apply.register
def _(operation: Record, target: OpenShard) -> Verdict:
    known = target.shard.by_name.get(operation.name)
    if known is None or known.attempt != operation.attempt:
        return Verdict(Decision.DONE, known)
    if known.state is not ClaimState.RUNNING:
        return Verdict(Decision.DONE, known)
    ended = _ended(known, operation.outcome, target.size_bytes)
    target.put(operation.name, ended)
    return Verdict(Decision.DONE, ended)


@apply.register
def _(operation: Release, target: OpenShard) -> Verdict:
    known = target.shard.by_name.get(operation.name)
    if known is not None and not _is_releasable(known, operation):
        return Verdict(Decision.DONE, known)
    # Written even where no claim stands: the new version of the object
    # defeats a copy of the take that is still on its way.
    released = msgspec.structs.replace(
        operation.claim, state=ClaimState.RELEASED
    )
    target.put(operation.name, released)
    return Verdict(Decision.DONE, released)


def _grant(operation: Take, target: OpenShard) -> Verdict:
    if target.size_bytes > TAKE_LIMIT_BYTES:
        return Verdict(Decision.FULL)
    target.put(operation.name, operation.claim)
    return Verdict(Decision.GRANTED, operation.claim)


def _is_releasable(known: Claim, operation: Release) -> bool:
    same = known.attempt == operation.claim.attempt
    return known.state is (ClaimState.RUNNING if same else ClaimState.RELEASED)


def _ended(known: Claim, outcome: Outcome | None, size_bytes: int) -> Claim:
    if outcome is None:
        return msgspec.structs.replace(known, state=ClaimState.UNKNOWN)
    if size_bytes > RECORD_LIMIT_BYTES:
        outcome = Outcome(outcome.status)
    return msgspec.structs.replace(
        known, state=ClaimState.FINISHED, outcome=outcome
    )
