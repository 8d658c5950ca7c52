"""Call the object API of the platform.

An object has a kind, a name, a version and a JSON value.  A write names the
version that it replaces, 0 if the object must not exist, and takes effect
only if that is still the current one.  Only this module uses the wire format.
"""

import collections.abc
import dataclasses
import typing
from typing import Final
import urllib.parse

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale import loop_delays
from sycamoredale.object_api import budget
from sycamoredale.object_api import eras as era_module
from sycamoredale.observability import logs

LOG: Final = logs.get("object_api")
OBJECT_ROOT: Final = "/v1/object"
ABSENT_VERSION: Final = ids.ObjectVersion(0)
MAX_VALUE_BYTES: Final = 1_000_000
CALL_TIMEOUT_SECONDS: Final = 2.0
# The shortest pages that were met have this many; a watch that returns as many
# changes may not have returned all.
MIN_PAGE_OBJECTS: Final = 50
# Of the time for a read; the rest is for its answer.
CONNECT_SHARE: Final = 0.5
VERSION_HEADER: Final = "If-Version"


CallKind = budget.CallKind


class StoredObject(msgspec.Struct, frozen=True):
    """Represent an object of the store; `value` is JSON."""

    name: str
    version: ids.ObjectVersion
    value: msgspec.Raw


class Listing(msgspec.Struct, frozen=True):
    """List the objects of a kind, or those changed since a version.

    If it `is_partial`, the store may have later changes already.
    """

    version: ids.ObjectVersion
    objects: list[StoredObject] = []
    deleted: list[str] = []
    is_partial: bool = False


class _WriteResult(msgspec.Struct, frozen=True):
    version: ids.ObjectVersion


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """Limit a read of the store.

    The answer to a watch may come `answer_seconds` after its wait.  A list
    of several calls ends after `list_seconds`, or after `answer_seconds`.
    """

    answer_seconds: float = CALL_TIMEOUT_SECONDS
    connect_seconds: float = client.CONNECT_TIMEOUT_SECONDS
    new_connection: bool = False
    list_seconds: float | None = None


DEFAULT_LIMITS: Final = CallLimits()
OnCall = collections.abc.Callable[[CallKind], None]


@dataclasses.dataclass
class ObjectStore:
    """Call the object API at one address, within an optional budget."""

    address: messages.Address
    pool: client.Pool
    on_call: OnCall = lambda kind: None
    on_answer: collections.abc.Callable[[], None] = lambda: None
    eras: era_module.EraTracker = dataclasses.field(
        default_factory=era_module.EraTracker
    )
    call_budget: budget.CallBudget | None = None
    priority: budget.Priority = budget.Priority.LEASE
    delays: loop_delays.LoopDelays = dataclasses.field(
        default_factory=loop_delays.LoopDelays
    )

    def with_priority(self, priority: budget.Priority) -> "ObjectStore":
        """Return a copy whose calls have another priority."""
        return dataclasses.replace(self, priority=priority)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object or None; raise StoreUnavailable."""
        response = await self._read(
            CallKind.READ, object_path(OBJECT_ROOT, kind, name)
        )
        if response.status == 404:
            return None
        return decode_body(response, StoredObject)

    async def list(
        self,
        kind: str,
        limits: CallLimits = DEFAULT_LIMITS,
        stale: bool = False,
    ) -> Listing:
        """Return all objects of a kind; raise StoreUnavailable.

        A stale list may be seconds old, where that costs the store less.
        """
        del stale
        response = await self._read(
            CallKind.LIST, object_path(OBJECT_ROOT, kind), limits
        )
        return _decode_listing(response, kind)

    async def watch(
        self,
        kind: str,
        after: ids.ObjectVersion,
        wait_seconds: float,
        limits: CallLimits = DEFAULT_LIMITS,
    ) -> Listing:
        """Wait for changes after a version; raise StoreUnavailable.

        Raises WatchExpired if the store no longer has all changes since that
        version; the kind must then be listed again.
        """
        target = (
            f"/v1/watch/{urllib.parse.quote(kind, safe='')}"
            f"?after={after}&wait={wait_seconds:g}"
        )
        response = await self._read(
            CallKind.WATCH, target, limits, wait_seconds
        )
        if response.status == 410:
            raise errors.WatchExpired(
                error_codes.WATCH_EXPIRED,
                f"the store no longer has changes of {kind} after {after}",
            )
        return _decode_listing(response, kind)

    async def put(
        self, kind: str, name: str, value: bytes, expected: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Replace the expected version by JSON and return the new one.

        Raises VersionConflict, StoreUnavailable if nothing was written,
        OutcomeUnknown if the answer was lost, or ValueError if the value is
        too large.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"value of {kind}/{name} has {len(value)} bytes, "
                f"more than the limit of {MAX_VALUE_BYTES}"
            )
        request = messages.Request(
            "PUT",
            object_path(OBJECT_ROOT, kind, name),
            messages.Headers([(VERSION_HEADER, str(expected))]),
            value,
        )
        response = await self._write(request)
        return decode_body(response, _WriteResult).version

    async def delete(
        self, kind: str, name: str, expected: ids.ObjectVersion
    ) -> None:
        """Delete an object at the expected version; raise as `put`."""
        headers = messages.Headers([(VERSION_HEADER, str(expected))])
        await self._write(
            messages.Request(
                "DELETE", object_path(OBJECT_ROOT, kind, name), headers
            )
        )

    async def _read(
        self,
        kind: CallKind,
        target: str,
        limits: CallLimits = DEFAULT_LIMITS,
        wait_seconds: float = 0.0,
    ) -> messages.Response:
        self._charge(kind, target)
        request = messages.Request("GET", target)
        seconds = wait_seconds + limits.answer_seconds
        try:
            # Connecting counts as well.
            response = await self.delays.within(
                seconds,
                self.pool.call(
                    self.address,
                    request,
                    seconds,
                    limits.new_connection,
                    min(limits.connect_seconds, CONNECT_SHARE * seconds),
                ),
            )
        except curio.TaskTimeout as error:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"read of {target} was not answered within {seconds:g} s",
            ) from error
        except errors.SycamoredaleError as error:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"read of {target} failed: {error.message}",
            ) from error
        if response.status not in (200, 404, 410):
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"read of {target} answered status {response.status}",
            )
        self.eras.record_answer(self._era_text(response))
        self.on_answer()
        return response

    async def _write(self, request: messages.Request) -> messages.Response:
        target = request.target
        self._charge(CallKind.WRITE, target)
        try:
            response = await self.pool.call(
                self.address, request, CALL_TIMEOUT_SECONDS
            )
        except errors.ConnectionFailed as error:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"write of {target} failed: {error.message}",
            ) from error
        except errors.ConnectionBroken as error:
            raise errors.OutcomeUnknown(
                error_codes.OUTCOME_UNKNOWN,
                f"the answer to the write of {target} was lost: "
                f"{error.message}",
                error_codes.Execution.UNKNOWN,
            ) from error
        if response.status == 409:
            raise errors.VersionConflict(
                error_codes.VERSION_CONFLICT,
                f"object {target} changed since it was read",
            )
        if response.status in (429, 503):
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"write of {target} answered status {response.status}",
            )
        try:
            self.eras.record_answer(self._era_text(response))
        except errors.StoreUnavailable as error:
            raise errors.OutcomeUnknown(
                error_codes.OUTCOME_UNKNOWN,
                f"write of {target}: {error.message}",
                error_codes.Execution.UNKNOWN,
            ) from error
        if response.status not in (200, 201):
            raise errors.OutcomeUnknown(
                error_codes.OUTCOME_UNKNOWN,
                f"write of {target} answered status {response.status}",
                error_codes.Execution.UNKNOWN,
            )
        return response

    def _era_text(self, response: messages.Response) -> str | None:
        """Return how an answer names the era of the store, if it does."""
        del response
        return None

    def _charge(self, kind: CallKind, target: str) -> None:
        if self.call_budget is not None:
            now = clock.monotonic()
            if not self.call_budget.try_withdraw(kind, self.priority, now):
                raise errors.StoreUnavailable(
                    error_codes.BUDGET_EXHAUSTED,
                    f"the budget of {kind.value} calls is exhausted for "
                    f"{target} with priority {self.priority.value}",
                )
        self.on_call(kind)


def object_path(root: str, kind: str, name: str | None = None) -> str:
    """Return the path of a kind below a root, or of one object."""
    path = f"{root}/{urllib.parse.quote(kind, safe='')}"
    if name is None:
        return path
    return f"{path}/{urllib.parse.quote(name, safe='')}"


_T = typing.TypeVar("_T")


class _RawListing(msgspec.Struct):
    version: decoding.Count
    objects: list[msgspec.Raw]
    deleted: list[str] = []


_LISTING_DECODER: Final = decoding.JsonDecoder(_RawListing)
_OBJECT_DECODER: Final = decoding.JsonDecoder(StoredObject)


def decode_body(response: messages.Response, kind: type[_T]) -> _T:
    """Decode the JSON body of an answer; raise StoreUnavailable."""
    try:
        return decoding.decode_json(response.body, kind)
    except decoding.MalformedInput as error:
        raise malformed_answer(str(error)) from error


def decode_list(
    response: messages.Response, decoder: decoding.JsonDecoder[_T]
) -> _T:
    """Decode an answer with objects of other writers; raise StoreUnavailable.

    Values that are nested too deeply become null.
    """
    try:
        try:
            return decoder.decode(response.body)
        except decoding.MalformedInput:
            body = decoding.without_deep_values(response.body)
            return decoder.decode(body)
    except decoding.MalformedInput as error:
        raise malformed_answer(str(error)) from error


def decode_each(
    values: collections.abc.Iterable[msgspec.Raw],
    decoder: decoding.JsonDecoder[_T],
    kind: str,
) -> collections.abc.Iterator[_T]:
    """Yield the objects of a kind that can be decoded."""
    for value in values:
        try:
            yield decoder.decode(value)
        except decoding.MalformedInput as error:
            LOG.warning("object_malformed", kind=kind, reason=str(error))


def malformed_answer(reason: str) -> errors.StoreUnavailable:
    """Return the error for an answer that cannot be decoded."""
    return errors.StoreUnavailable(
        error_codes.STORE_UNAVAILABLE,
        f"the object API sent a malformed answer: {reason}",
    )


def _decode_listing(response: messages.Response, kind: str) -> Listing:
    raw = decode_list(response, _LISTING_DECODER)
    found = list(decode_each(raw.objects, _OBJECT_DECODER, kind))
    return Listing(ids.ObjectVersion(raw.version), found, raw.deleted)
