"""Decide which non-idempotent request may run under an idempotency key.

A claim gives one attempt the exclusive right to be dispatched under a key of
an organisation and service.  Claims are stored in shard objects.  Operations
change a shard in memory, and `claim_writer` stores the change by one
conditional update.  Every operation is idempotent, because a claim contains
the id of its attempt.

A released claim remains as a tombstone, so that a delayed copy of the
operation that took it cannot take it again.
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
MAX_OUTCOME_PART_BYTES: Final = 4096
MAX_SHARD_BYTES_FOR_TAKE: Final = 800_000
MAX_SHARD_BYTES_FOR_BODY: Final = 900_000
MIN_RETENTION_SECONDS: Final = 3600.0
RETENTION_MARGIN: Final = 0.1


class ClaimState(enum.Enum):
    """Enumerate the states of the attempt that took a claim."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Outcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """Store the response of an endpoint; no body if it was too long."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """Allow one attempt to run; `claimed_at` is used for expiry only."""

    request_digest: str
    attempt: ids.RequestId
    owner: ids.DaemonId
    incarnation: ids.Incarnation
    claimed_at: float
    state: ClaimState = ClaimState.RUNNING
    outcome: Outcome | None = None


class Shard(msgspec.Struct):
    """Store claims by the digest of organisation, service and key."""

    by_name: dict[str, Claim] = {}
    write_id: ids.WriteId = ids.WriteId("")


class Take(msgspec.Struct, frozen=True, tag="take"):
    """Request the exclusive right to dispatch an attempt."""

    name: str
    claim: Claim


class Record(msgspec.Struct, frozen=True, tag="record"):
    """Store the outcome of an attempt; None marks it as unknown for good."""

    name: str
    attempt: ids.RequestId
    outcome: Outcome | None = None


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Release the claim of an attempt that sent no byte of its request."""

    name: str
    claim: Claim


Operation = Take | Record | Release


class Decision(enum.Enum):
    """Enumerate the results of an operation."""

    GRANTED = "granted"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"
    DONE = "done"


class OperationResult(msgspec.Struct, frozen=True):
    """Report the decision and the claim now stored under the key."""

    decision: Decision
    claim: Claim | None = None


@dataclasses.dataclass
class ShardUpdate:
    """Collect the changes of operations to a shard.

    `size_bytes` is an upper bound of the encoded size.
    """

    shard: Shard
    size_bytes: int
    changed: bool = False

    def put(self, name: str, claim: Claim) -> None:
        """Store a claim under its name."""
        self.shard.by_name[name] = claim
        # JSON adds two quotes, a colon and a comma to each entry.
        self.size_bytes += len(msgspec.json.encode(claim)) + len(name) + 4
        self.changed = True

    def expire(self, now: clock.WallTime, retention_seconds: float) -> None:
        """Remove claims older than the retention period plus its margin."""
        lifetime_seconds = max(retention_seconds, MIN_RETENTION_SECONDS)
        oldest = now - lifetime_seconds * (1 + RETENTION_MARGIN)
        by_name = self.shard.by_name
        expired = [n for n, c in by_name.items() if c.claimed_at < oldest]
        for name in expired:
            del by_name[name]


def claim_name(
    organisation: ids.OrganisationName,
    service: ids.ServiceName,
    key: ids.IdempotencyKey,
) -> str:
    """Return the name under which the claim of a key is stored."""
    text = msgspec.json.encode([organisation, service, key])
    return hashlib.sha256(text).hexdigest()[:32]


def shard_number(name: str) -> int:
    """Return the number of the shard that stores a claim name."""
    return int(name[:8], 16) % SHARD_COUNT


def build_outcome(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes
) -> Outcome:
    """Return the outcome to store.

    It contains only the status if the body or the headers are longer than
    MAX_OUTCOME_PART_BYTES.
    """
    if len(body) > MAX_OUTCOME_PART_BYTES:
        return Outcome(status)
    if sum(len(n) + len(v) for n, v in headers) > MAX_OUTCOME_PART_BYTES:
        return Outcome(status)
    return Outcome(status, headers, body)


@functools.singledispatch
def apply(operation: Operation, update: ShardUpdate) -> OperationResult:
    """Apply an operation to a shard and return its result."""
    raise TypeError(f"{operation!r} is not an operation on claims")


@apply.register
def _(operation: Take, update: ShardUpdate) -> OperationResult:
    existing = update.shard.by_name.get(operation.name)
    claim = operation.claim
    if existing is None:
        return _grant(operation, update)
    if existing.attempt == claim.attempt:
        if existing.state is ClaimState.RUNNING:
            return OperationResult(Decision.GRANTED, existing)
        return OperationResult(Decision.RUNNING, existing)
    if existing.state is ClaimState.RELEASED:
        return _grant(operation, update)
    if existing.request_digest != claim.request_digest:
        return OperationResult(Decision.MISMATCH, existing)
    if existing.state is ClaimState.FINISHED:
        return OperationResult(Decision.FINISHED, existing)
    if existing.state is ClaimState.UNKNOWN:
        return OperationResult(Decision.UNKNOWN, existing)
    return OperationResult(Decision.RUNNING, existing)


@apply.register
def _(operation: Record, update: ShardUpdate) -> OperationResult:
    existing = update.shard.by_name.get(operation.name)
    if existing is None or existing.attempt != operation.attempt:
        return OperationResult(Decision.DONE, existing)
    if existing.state is not ClaimState.RUNNING:
        return OperationResult(Decision.DONE, existing)
    completed = _with_outcome(existing, operation.outcome, update.size_bytes)
    update.put(operation.name, completed)
    return OperationResult(Decision.DONE, completed)


@apply.register
def _(operation: Release, update: ShardUpdate) -> OperationResult:
    existing = update.shard.by_name.get(operation.name)
    if existing is not None and not _is_releasable(existing, operation):
        return OperationResult(Decision.DONE, existing)
    # Written even if there is no claim: a delayed write of the take then
    # fails with a version conflict.
    released = msgspec.structs.replace(
        operation.claim, state=ClaimState.RELEASED
    )
    update.put(operation.name, released)
    return OperationResult(Decision.DONE, released)


def _grant(operation: Take, update: ShardUpdate) -> OperationResult:
    if update.size_bytes > MAX_SHARD_BYTES_FOR_TAKE:
        return OperationResult(Decision.FULL)
    update.put(operation.name, operation.claim)
    return OperationResult(Decision.GRANTED, operation.claim)


def _is_releasable(existing: Claim, operation: Release) -> bool:
    same = existing.attempt == operation.claim.attempt
    return existing.state is (
        ClaimState.RUNNING if same else ClaimState.RELEASED
    )


def _with_outcome(
    existing: Claim, outcome: Outcome | None, size_bytes: int
) -> Claim:
    if outcome is None:
        return msgspec.structs.replace(existing, state=ClaimState.UNKNOWN)
    if size_bytes > MAX_SHARD_BYTES_FOR_BODY:
        outcome = Outcome(outcome.status)
    return msgspec.structs.replace(
        existing, state=ClaimState.FINISHED, outcome=outcome
    )
