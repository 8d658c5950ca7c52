"""Stand in for the platform's store.

One listener for each daemon, so that a case can disturb the path between one
daemon and the store.
"""

import asyncio
import collections.abc
import json
import typing
import urllib.parse

import http_messages as http
import record as record_module

PAGE_ITEMS = 500
MAX_WATCH_SECONDS = 30.0
ANSWER_SECONDS = 0.004

OnWrite = collections.abc.Callable[[str, str, str], None]


class Path:
    """Carry what passes between one daemon and the store.

    While `answers_pass` is cleared, the answers of the store are held, and
    connections that the daemon opens are not established.
    """

    def __init__(self) -> None:
        """Let everything pass."""
        self.answers_pass = asyncio.Event()
        self.answers_pass.set()


class Store:
    """Hold objects by kind and name, with one revision counter."""

    def __init__(self, recorder: record_module.Recorder) -> None:
        """Start empty; revisions start above 0."""
        self.revision = 10
        self.objects: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self.events: list[tuple[int, str, dict[str, typing.Any], bool]] = []
        self.path_by_daemon: dict[str, Path] = {}
        self.on_write: list[OnWrite] = []
        self._recorder = recorder
        self._changed = asyncio.Condition()

    async def listen(self, daemon: str, host: str) -> str:
        """Listen for one daemon and return the address."""
        path = self.path_by_daemon[daemon] = Path()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await self._serve(daemon, path, reader, writer)
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, host, 0)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def _serve(
        self,
        daemon: str,
        path: Path,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await path.answers_pass.wait()
        while True:
            request = await http.read_message(reader)
            if request is None:
                return
            await asyncio.sleep(ANSWER_SECONDS)
            answer = await self._answer(daemon, request)
            await path.answers_pass.wait()
            writer.write(answer)
            await writer.drain()

    async def _answer(self, daemon: str, request: http.Message) -> bytes:
        parsed = urllib.parse.urlsplit(request.target)
        parts = [urllib.parse.unquote(p) for p in parsed.path.split("/")[3:]]
        query = {
            name: values[0]
            for name, values in urllib.parse.parse_qs(parsed.query).items()
        }
        kind = parts[0]
        if request.method == "GET":
            if len(parts) > 1:
                found = self.objects.get(kind, {}).get(parts[1])
                if found is None:
                    return http.json_answer(404, {})
                return http.json_answer(200, found)
            if "watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, query)
        return await self._change(daemon, request, kind, parts, query)

    def _list(self, kind: str, query: dict[str, str]) -> bytes:
        names = sorted(self.objects.get(kind, {}))
        names = [n for n in names if n > query.get("after", "")]
        page = names[:PAGE_ITEMS]
        return http.json_answer(
            200,
            {
                "items": [self.objects[kind][n] for n in page],
                "has_more": len(names) > len(page),
                "at": self.revision,
            },
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        after = int(query["watch"])
        seconds = int(query.get("wait_ms", "0")) / 1000

        def found() -> list[dict[str, typing.Any]]:
            return [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self.events
                if of_kind == kind and revision > after
            ]

        async def wait() -> None:
            async with self._changed:
                await self._changed.wait_for(found)

        if not found():
            try:
                await asyncio.wait_for(
                    wait(), max(0.001, min(seconds, MAX_WATCH_SECONDS))
                )
            except asyncio.TimeoutError:
                pass
        return http.json_answer(200, {"events": found(), "at": self.revision})

    async def _change(
        self,
        daemon: str,
        request: http.Message,
        kind: str,
        parts: list[str],
        query: dict[str, str],
    ) -> bytes:
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        name = parts[1] if len(parts) > 1 else metadata["name"]
        known = self.objects.get(kind, {}).get(name)
        expected = query.get("rev", metadata.get("rev"))
        if request.method == "POST" and known is not None:
            return http.json_answer(409, known)
        if request.method != "POST" and known is None:
            return http.json_answer(404, {})
        if expected is not None and known is not None:
            if int(expected) != known["metadata"]["rev"]:
                return http.json_answer(409, known)
        if request.method == "DELETE":
            await self.delete(kind, name)
            return http.json_answer(200, {})
        item = await self.put(kind, name, body.get("spec"))
        self._recorder.write(
            "store_write", daemon=daemon, kind=kind, name=name
        )
        for callback in self.on_write:
            callback(daemon, kind, name)
        return http.json_answer(200, item)

    async def put(
        self, kind: str, name: str, spec: typing.Any
    ) -> dict[str, typing.Any]:
        """Create or replace an object; one that is equal does not change."""
        known = self.objects.get(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "rev": self.revision,
                "created": created,
                "finalizers": [],
                "delete_pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = item
        await self._record(kind, item, False)
        return item

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            await self._record(kind, item, True)

    async def _record(
        self, kind: str, item: dict[str, typing.Any], deleted: bool
    ) -> None:
        self.events.append((self.revision, kind, item, deleted))
        async with self._changed:
            self._changed.notify_all()
