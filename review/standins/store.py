"""A stand-in for the platform's store, as PROTOCOL.md describes it.

`roll_back` plays the drill of the news page: the store is away for a moment
and comes back from a copy.
"""

import asyncio
import copy
import urllib.parse

from standins import http

PAGE_OBJECTS = 500
KEPT_EVENTS = 5000


class Store:
    """Hold objects by kind and name, with one revision counter."""

    def __init__(self):
        """Start empty, at revision 1 of era 1."""
        self.server = http.Server(self._handle)
        self.rev = 1
        self.era = 1
        self._objects = {}
        self._events = []
        self._first_kept = 1
        self._changed = asyncio.Event()
        self._address = None

    async def start(self, host):
        """Listen on a free port."""
        await self.server.start(host)
        self._address = self.server.address

    # What the operator and the replicas do; they are stand-ins as well.

    def write(self, kind, name, spec):
        """Create or replace an object; return its revision.

        A write that changes nothing keeps the revision.
        """
        known = self._objects.get(kind, {}).get(name)
        if known is None:
            known = {
                "metadata": {
                    "name": name,
                    "rev": 0,
                    "created": 0,
                    "finalizers": [],
                    "delete_pending": False,
                },
                "spec": None,
                "status": None,
            }
        elif known["spec"] == spec:
            return known["metadata"]["rev"]
        item = copy.deepcopy(known)
        item["spec"] = copy.deepcopy(spec)
        self._commit(kind, item, False)
        return self.rev

    def remove(self, kind, name):
        """Delete an object if it exists."""
        known = self._objects.get(kind, {}).get(name)
        if known is not None:
            self._commit(kind, copy.deepcopy(known), True)

    def spec(self, kind, name):
        """Return the specification of an object, or None."""
        known = self._objects.get(kind, {}).get(name)
        return None if known is None else copy.deepcopy(known["spec"])

    # The drill.

    def take_copy(self):
        """Return a copy of all objects and the revision."""
        return self.rev, copy.deepcopy(self._objects)

    async def roll_back(self, saved, away_seconds):
        """Be away, then continue from the copy in the next era."""
        self.server.crash()
        await asyncio.sleep(away_seconds)
        self.rev, self._objects = saved[0], copy.deepcopy(saved[1])
        self._events = [e for e in self._events if e[0] <= self.rev]
        self.era += 1
        host, _, port = self._address.rpartition(":")
        self.server = http.Server(self._handle)
        await self.server.start(host, int(port))

    # The calls of the daemons.

    async def _handle(self, request):
        answer = await self._route(request)
        answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _route(self, request):
        parts = [
            urllib.parse.unquote(part)
            for part in request.path.strip("/").split("/")
        ]
        if parts[:2] != ["v1", "objects"] or len(parts) not in (3, 4, 5):
            return http.json_answer(404, {})
        kind = parts[2]
        if len(parts) == 3:
            if request.method == "GET" and "watch" in request.query:
                return await self._watch(kind, request.query)
            if request.method == "GET":
                return self._list(kind, request.query)
            if request.method == "POST":
                return self._create(kind, request)
            return http.json_answer(400, {})
        if len(parts) == 5:
            return http.json_answer(400, {})
        return self._one(kind, parts[3], request)

    def _list(self, kind, query):
        after = urllib.parse.unquote(query.get("after", ""))
        names = sorted(n for n in self._objects.get(kind, {}) if n > after)
        items = [self._objects[kind][n] for n in names[:PAGE_OBJECTS]]
        return http.json_answer(
            200,
            {
                "items": items,
                "has_more": len(names) > PAGE_OBJECTS,
                "at": self.rev,
            },
        )

    async def _watch(self, kind, query):
        after = int(query["watch"])
        wait = min(30.0, int(query.get("wait_ms", "0")) / 1000)
        ends_at = asyncio.get_running_loop().time() + wait
        # It does not have this revision, or no longer has what followed.
        if after > self.rev or after + 1 < self._first_kept:
            return http.json_answer(410, {})
        while True:
            changed = self._changed
            found = [e for e in self._events if e[0] > after and e[1] == kind]
            left = ends_at - asyncio.get_running_loop().time()
            if found or left <= 0:
                events = [{"object": e[2], "deleted": e[3]} for e in found]
                return http.json_answer(
                    200, {"events": events, "at": self.rev}
                )
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                continue

    def _create(self, kind, request):
        body = request.json()
        name = body["metadata"]["name"]
        known = self._objects.get(kind, {}).get(name)
        if known is not None:
            return http.json_answer(409, known)
        self.write(kind, name, body.get("spec"))
        return http.json_answer(201, self._objects[kind][name])

    def _one(self, kind, name, request):
        known = self._objects.get(kind, {}).get(name)
        if known is None:
            return http.json_answer(404, {})
        if request.method == "GET":
            return http.json_answer(200, known)
        rev = request.query.get("rev")
        body = request.json() if request.body else {}
        rev = body.get("metadata", {}).get("rev", rev)
        if rev is not None and int(rev) != known["metadata"]["rev"]:
            return http.json_answer(409, known)
        if request.method == "DELETE":
            self.remove(kind, name)
            return http.json_answer(200, known)
        if request.method == "PUT":
            self.write(kind, name, body.get("spec"))
            return http.json_answer(200, self._objects[kind][name])
        return http.json_answer(400, {})

    def _commit(self, kind, item, deleted):
        self.rev += 1
        item["metadata"]["rev"] = self.rev
        item["metadata"]["created"] = item["metadata"]["created"] or self.rev
        by_name = self._objects.setdefault(kind, {})
        if deleted:
            del by_name[item["metadata"]["name"]]
        else:
            by_name[item["metadata"]["name"]] = item
        event = (self.rev, kind, copy.deepcopy(item), deleted)
        self._events.append(event)
        if len(self._events) > KEPT_EVENTS:
            self._first_kept = self._events[-KEPT_EVENTS][0]
            del self._events[:-KEPT_EVENTS]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
