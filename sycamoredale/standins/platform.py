"""Simulate the platform: object API, instance list and weight store.

All state is in the memory of one process.  Tests and the demo set faults at
`/standin/faults` and the instance list at `/standin/instances`.
"""

import collections
import dataclasses
import typing
from typing import Final
import urllib.parse

import curio
import msgspec

from sycamoredale import clock
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.object_api import instances
from sycamoredale.standins import records
from sycamoredale.standins import weights

CHANGE_LOG_LENGTH: Final = 100_000


class Faults(msgspec.Struct, frozen=True):
    """Configure the faults that the platform injects; times in seconds.

    `lose_answers` is the number of writes that take effect, but get no
    response.  `list_lag` delays changes of the instance list.  While
    `older_version` is set, reads return the state as of that version and
    watches return no changes.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    list_lag: float = 0.0
    older_version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Describe one change of an object; a deletion has no value."""

    version: int
    kind: str
    name: str
    value: bytes | None


class Store:
    """Store versioned objects and the log of their changes."""

    def __init__(self, recorder: records.Recorder) -> None:
        """Create an empty store."""
        self.version = 0
        self._recorder = recorder
        self.objects_by_kind: dict[str, dict[str, Change]] = {}
        self.changes: list[Change] = []
        self.compacted_version = 0
        self._changed = curio.Condition()

    def get(self, kind: str, name: str) -> Change | None:
        """Return the last change of an object, None if it does not exist."""
        return self.objects_by_kind.get(kind, {}).get(name)

    def compact_log(self) -> None:
        """Discard the change log; the objects are kept."""
        self.compacted_version = self.version
        self.changes.clear()

    def objects_at(self, kind: str, version: int) -> dict[str, Change]:
        """Return the objects of a kind as of a version."""
        change_by_name: dict[str, Change] = {}
        for change in self.changes:
            if change.version <= version and change.kind == kind:
                change_by_name[change.name] = change
        return {
            name: change
            for name, change in change_by_name.items()
            if change.value is not None
        }

    def current_version(self, kind: str, name: str) -> int:
        """Return the version of an object, 0 if it does not exist."""
        change = self.get(kind, name)
        return change.version if change else 0

    async def put(self, kind: str, name: str, value: bytes | None) -> int:
        """Write or delete an object and wake waiting watches."""
        self.version += 1
        change = Change(self.version, kind, name, value)
        self.changes.append(change)
        raw = msgspec.Raw(value or b"null")
        self._recorder.write(
            records.ObjectChanged(
                clock.monotonic(), kind, name, self.version, raw
            )
        )
        change_by_name = self.objects_by_kind.setdefault(kind, {})
        if value is None:
            change_by_name.pop(name, None)
        else:
            change_by_name[name] = change
        async with self._changed:
            await self._changed.notify_all()
        return self.version

    async def wait_for_change(
        self, kind: str, after: int, wait: float
    ) -> None:
        """Wait for a change of a kind, for at most `wait` seconds."""
        async with curio.ignore_after(wait):
            async with self._changed:
                while not self.changes_after(kind, after):
                    await self._changed.wait()

    def changes_after(self, kind: str, after: int) -> list[Change]:
        """Return the changes of a kind after a version."""
        matching: list[Change] = []
        for change in reversed(self.changes):
            if change.version <= after:
                break
            if change.kind == kind:
                matching.append(change)
        return matching[::-1]


class Platform:
    """Serve the HTTP interface of the platform and inject faults."""

    def __init__(self, recorder: records.Recorder) -> None:
        """Create a platform without objects, instances and faults."""
        self.store: Final = Store(recorder)
        self._recorder = recorder
        self.faults = Faults()
        self.weights: Final = weights.WeightServer()
        self.calls: collections.Counter[str] = collections.Counter()
        self.calls_by_second: collections.Counter[int] = collections.Counter()
        self._instance_lists: list[tuple[float, list[instances.Instance]]] = []

    async def handle(self, exchange: server.Exchange) -> None:
        """Respond to one request, or close its connection as a fault."""
        request = exchange.request
        parts = [urllib.parse.unquote(p) for p in request.path.split("/") if p]
        if parts[:1] == ["standin"]:
            await exchange.respond(self._handle_control(request, parts[1:]))
            return
        self.calls[f"{request.method} {parts[1] if parts[1:] else ''}"] += 1
        self.calls_by_second[int(clock.monotonic())] += 1
        await self._apply_faults()
        response = await self._route(request, parts)
        if request.method in ("PUT", "DELETE") and self.faults.lose_answers:
            left = self.faults.lose_answers - 1
            self.faults = msgspec.structs.replace(
                self.faults, lose_answers=left
            )
            raise ConnectionResetError("injected fault: response lost")
        await exchange.respond(response)

    async def _apply_faults(self) -> None:
        if self.faults.down:
            raise ConnectionResetError("injected fault: platform is down")
        if self.faults.delay:
            await curio.sleep(self.faults.delay)

    async def _route(
        self, request: messages.Request, parts: list[str]
    ) -> messages.Response:
        match (request.method, parts):
            case ("GET", ["v1", "object", kind]):
                return self._list_objects(kind)
            case ("GET", ["v1", "object", kind, name]):
                return self._get_object(kind, name)
            case ("PUT", ["v1", "object", kind, name]):
                return await self._write_object(
                    request, kind, name, request.body
                )
            case ("DELETE", ["v1", "object", kind, name]):
                return await self._write_object(request, kind, name, None)
            case ("GET", ["v1", "watch", kind]):
                return await self._watch_objects(request, kind)
            case ("GET", ["v1", "instances"]):
                return messages.json_response(200, self._visible_instances())
            case ("GET", ["v1", "weights"]):
                return self.weights.limits_response()
            case ("GET", ["v1", "weights", name]):
                return await self.weights.fetch(name)
        return messages.json_response(404, {"error": "not found"})

    def _get_object(self, kind: str, name: str) -> messages.Response:
        change = self._objects_of_kind(kind).get(name)
        if change is None:
            return messages.json_response(404, {"error": "no such object"})
        return messages.json_response(200, _encode_object(change))

    def _objects_of_kind(self, kind: str) -> dict[str, Change]:
        pinned_version = self.faults.older_version
        if pinned_version is None:
            return self.store.objects_by_kind.get(kind, {})
        return self.store.objects_at(kind, pinned_version)

    def _visible_version(self) -> int:
        pinned_version = self.faults.older_version
        return self.store.version if pinned_version is None else pinned_version

    def _list_objects(self, kind: str) -> messages.Response:
        matching = self._objects_of_kind(kind).values()
        listing = {
            "version": self._visible_version(),
            "objects": [_encode_object(change) for change in matching],
        }
        return messages.json_response(200, listing)

    async def _write_object(
        self,
        request: messages.Request,
        kind: str,
        name: str,
        value: bytes | None,
    ) -> messages.Response:
        expected = int(request.headers.get("If-Version") or 0)
        current = self.store.current_version(kind, name)
        if expected != current:
            return messages.json_response(409, {"version": current})
        version = await self.store.put(kind, name, value)
        return messages.json_response(200, {"version": version})

    async def _watch_objects(
        self, request: messages.Request, kind: str
    ) -> messages.Response:
        after = int(request.query("after") or 0)
        wait = float(request.query("wait") or 0)
        if after < self.store.compacted_version:
            return messages.json_response(410, {"error": "forgotten"})
        await self.store.wait_for_change(kind, after, wait)
        if self.faults.down:
            raise ConnectionResetError("injected fault: platform is down")
        changes = self.store.changes_after(kind, after)
        if self.faults.older_version is not None:
            changes = []
        latest = {change.name: change for change in changes}
        updated = [c for c in latest.values() if c.value is not None]
        deleted = [c.name for c in latest.values() if c.value is None]
        version = self._visible_version()
        listing = {
            "version": version,
            "objects": [_encode_object(change) for change in updated],
            "deleted": deleted,
        }
        return messages.json_response(200, listing)

    def _visible_instances(self) -> list[instances.Instance]:
        visible_until = clock.monotonic() - self.faults.list_lag
        visible: list[instances.Instance] = []
        for time, listing in self._instance_lists:
            if time <= visible_until:
                visible = listing
        return visible

    def _handle_control(
        self, request: messages.Request, parts: list[str]
    ) -> messages.Response:
        match (request.method, parts):
            case ("PUT", ["faults"]):
                self.faults = msgspec.json.decode(request.body, type=Faults)
                return messages.json_response(200, self.faults)
            case ("PUT", ["instances"]):
                listing = msgspec.json.decode(
                    request.body, type=list[instances.Instance]
                )
                now = clock.monotonic()
                self._instance_lists.append((now, listing))
                self._recorder.write(records.InstancesListed(now, listing))
                return messages.json_response(200, {})
            case ("PUT", ["weights"]):
                self.weights.settings = msgspec.json.decode(
                    request.body, type=weights.Settings
                )
                return messages.json_response(200, {})
            case ("GET", ["weights"]):
                return self.weights.usage_response()
            case ("GET", ["calls"]):
                return messages.json_response(200, dict(self.calls))
            case ("GET", ["calls_by_second"]):
                rates = [
                    {"second": second, "calls": calls}
                    for second, calls in sorted(self.calls_by_second.items())
                ]
                return messages.json_response(200, rates)
            case ("PUT", ["forget_log"]):
                self.store.compact_log()
                return messages.json_response(200, {})
            case ("GET", ["history", kind, name]):
                return messages.json_response(200, self._history(kind, name))
        return messages.json_response(404, {"error": "not found"})

    def _history(self, kind: str, name: str) -> list[typing.Any]:
        return [
            msgspec.Raw(change.value or b"null")
            for change in self.store.changes
            if change.kind == kind and change.name == name
        ]


def _encode_object(change: Change) -> dict[str, object]:
    return {
        "name": change.name,
        "version": change.version,
        "value": msgspec.Raw(change.value or b"null"),
    }
