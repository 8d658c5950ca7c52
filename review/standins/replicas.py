"""Stand-ins for replicas: plain ones, and members of groups with engines."""

import asyncio
import dataclasses
import itertools
import time

from standins import http

HEARTBEAT_SECONDS = 1.2
# How long an event of a stream takes, and how many a stream has.
EVENT_SECONDS = 0.1
EVENTS = 20
_SEALS = itertools.count(1)


class Replica:
    """Register in the store, and run requests one by one or side by side.

    `ran` has an entry for each request that began to run.
    """

    def __init__(self, site, name, service, zone, work_seconds=0.045):
        """Describe a replica; `start` begins its life."""
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.work_seconds = work_seconds
        self.slots = 6
        self.state = "ready"
        self.born = 0
        self.ran = []
        self.running = 0
        self.has_ended = False
        self.paths_at_work = []
        self.server = http.Server(self._handle)
        self._beat = None

    async def start(self, host, port=0):
        """Listen and register."""
        self.born = int(time.time() * 1000)
        await self.server.start(host, port)
        self.register()
        self._beat = asyncio.create_task(self._keep_registered())
        self.site.note(
            f"replica {self.name} of {self.service} starts at "
            f"{self.server.address}"
        )

    def crash(self):
        """End without a word; the store's entry stays for three beats."""
        self.has_ended = True
        self.server.crash()
        self._beat.cancel()
        self.site.note(f"replica {self.name} crashes")

    async def forget(self):
        """Remove the entry, as the store does after three beats."""
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self.site.store.remove("servers", self.name)

    async def leave(self, seconds):
        """Report that the replica drains, serve on, then end."""
        self.state = "draining"
        self.register()
        self.site.note(f"replica {self.name} drains")
        await asyncio.sleep(seconds)
        self._beat.cancel()
        self.site.store.remove("servers", self.name)
        self.has_ended = True
        self.server.crash()
        self.site.note(f"replica {self.name} has left")

    def register(self):
        """Write the entry; it stays as it is if nothing has changed."""
        self.site.store.write("servers", self.name, self.entry())

    def entry(self):
        """Return the entry of the list of replicas."""
        return {
            "backend": self.service,
            "addr": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": 0,
            "born": self.born,
        }

    async def _keep_registered(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.register()

    async def _handle(self, request):
        answer = await self._route(request)
        attempt = request.headers.get("attempt-id")
        if attempt is not None:
            answer.headers.setdefault("Attempt-Id", attempt)
        if answer.status == 421:
            answer.headers["Not-Executed"] = "1"
        if self.state == "draining":
            answer.headers["Server-Leaving"] = "1"
        return answer

    async def _route(self, request):
        if request.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            return http.Answer(status, {"Replica-Id": self.name})
        expected = request.headers.get("expect-replica", self.name)
        if expected != self.name:
            return http.Answer(421, {"Replica-Id": self.name})
        return await self.serve(request)

    async def serve(self, request):
        """Run one request and return its answer."""
        attempt = request.headers.get("attempt-id", "")
        tenant = request.headers.get("tenant")
        self.ran.append(attempt)
        self.running += 1
        self.paths_at_work.append(request.path)
        self.site.note(
            f"{self.name} runs {attempt} {request.method} {request.path} "
            f"for tenant {tenant}"
        )
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
            self.paths_at_work.remove(request.path)
        return http.Answer(200, self._seal(attempt), b'{"stock": 3}')

    def _seal(self, attempt):
        return {
            "Attempt-Id": attempt,
            "Replica-Seal": f"{next(_SEALS):04x}",
            "Replica-Load": f"{self.running},0,{self.slots}",
        }


@dataclasses.dataclass
class Group:
    """The membership of an engine; `state` is that of the list."""

    name: str
    epoch: int
    members: tuple
    rank: int
    state: str = "joining"

    @property
    def key(self):
        """Return what identifies the group to this member."""
        return self.name, self.epoch, self.members


class Engine(Replica):
    """A replica that serves a model as a member of a group.

    `fleet` has all engines by name.  `ever_ready` has the engines and the
    groups in which they have been ready, `breaks` what broke TWO or PARTIAL.
    """

    ever_ready = set()
    stall_seconds = 5.0
    # Beyond so many at once, each load takes proportionally longer.
    loads_at_once = 6
    _loading = []

    join_again_seconds = 0.2
    form_seconds = 0.3

    def __init__(self, site, name, service, zone, domain, models, fleet):
        """Describe an engine; `models` gives load_s and warm_s by name."""
        super().__init__(site, name, service, zone)
        self.domain = domain
        self.models = models
        self.fleet = fleet
        self.slots = 13
        self.seq = 0
        self.group = None
        self.staged = []
        self.finished = []
        self.cut_off = []
        self.silent_until = 0.0
        self.breaks = []
        self._last_model = None
        self._highest_epoch = 0
        self._change = None

    def entry(self):
        """Return the entry of the list of replicas."""
        return {**super().entry(), **self._state()}

    def _state(self):
        group = None
        if self.group is not None:
            group = {
                "name": self.group.name,
                "epoch": self.group.epoch,
                "rank": self.group.rank,
                "state": self.group.state,
            }
        return {
            "stage": "colocated",
            "models": [],
            "seq": self.seq,
            "born": self.born,
            "domain": self.domain,
            "staged": list(self.staged),
            "group": group,
        }

    async def _route(self, request):
        if request.path == "/v1/report":
            return http.json_answer(
                200,
                {
                    **self._state(),
                    "busy": False,
                    "queue_depth": 0,
                    "inflight": self.running,
                    "kv_used": 0,
                    "kv_total": 795000,
                    "handles": 0,
                    "pace": 1.0,
                },
            )
        if request.path == "/v1/order":
            expected = request.headers.get("expect-replica", self.name)
            if expected != self.name:
                return http.Answer(421, {"Replica-Id": self.name})
            body = request.json()
            status = self._order(body)
            words = " ".join(f"{k}={v}" for k, v in body.items())
            self.site.note(f"{self.name} gets {words}: {status}")
            return http.json_answer(status, {})
        return await super()._route(request)

    def fall_silent(self, seconds):
        """Make no event for some time, then go on; nothing is lost."""
        self.silent_until = time.monotonic() + seconds
        self.site.note(f"{self.name} falls silent for {seconds:g} s")

    # Orders.

    def _order(self, body):
        operation = body.get("operation")
        if operation == "join":
            return self._join(body)
        if operation == "stage":
            return self._stage(body["model"])
        group = self.group
        if group is None or (group.name, group.epoch) != (
            body.get("group"),
            body.get("epoch"),
        ):
            return 409
        if operation == "open":
            return self._open(group)
        if operation == "close":
            return self._close(group, body.get("close_mode"))
        if operation == "leave":
            self._begin(None)
            return 202
        return 400

    def _join(self, body):
        name, epoch = body["group"], body["epoch"]
        members = tuple(body["members"])
        if epoch < self._highest_epoch:
            return 412
        known = self.group
        if known is not None and (known.name, known.epoch) == (name, epoch):
            return 200 if known.members == members else 412
        self._check_join(name)
        self._highest_epoch = epoch
        group = Group(name, epoch, members, members.index(self.name))
        self._begin(group)
        self._change = asyncio.create_task(self._load(group, body["model"]))
        return 202

    def _check_join(self, name):
        """Check the rule TWO for a join that is taken now.

        Only the present membership counts, and only a head that runs.
        """
        if self.group is None:
            return
        head = self.fleet.get(self.group.members[0])
        if head is None or head.group is None:
            return
        if head.group.key == self.group.key and head.group.state in (
            "open",
            "closing",
        ):
            text = (
                f"{self.name} takes a join of {name} while {head.name}, the "
                f"head of its group {self.group.name} "
                f"{list(self.group.members)}, is {head.group.state} with "
                f"{head.running} requests at work"
            )
            self.breaks.append(text)
            self.site.note(f"TWO: {text}")

    def _begin(self, group):
        """Replace the membership; what runs in the old one ends."""
        if self._change is not None:
            self._change.cancel()
        self.seq += 1
        self.group = group
        self.register()

    async def _load(self, group, model):
        seconds = self.join_again_seconds
        if self._last_model != model:
            staged = model in self.staged
            seconds = self.models[model]["warm_s"]
            if not staged:
                seconds = 0.0
                await self._load_weights(model)
        await asyncio.sleep(seconds)
        self._last_model = model
        self.staged = [model]
        group.state = "ready"
        self.ever_ready.add((self.name, group.key))
        self.register()

    async def _load_weights(self, model):
        """Load from the store, in a tenth of the time before any request."""
        seconds = self.models[model]["load_s"]
        seconds *= 1.0 if self.site.has_traffic else 0.1
        self._loading.append(self)
        try:
            # Those that begin together count.
            await asyncio.sleep(0.05)
            crowding = len(self._loading) / self.loads_at_once
            await asyncio.sleep(seconds * max(1.0, crowding))
        finally:
            self._loading.remove(self)

    def _open(self, group):
        if group.state == "open":
            return 200
        if group.rank or group.state != "ready":
            return 409
        self.seq += 1
        self._change = asyncio.create_task(self._form(group))
        return 202

    async def _form(self, group):
        await asyncio.sleep(self.form_seconds)
        group.state = "open"
        self.register()
        asyncio.create_task(self._watch_members(group))

    def _is_whole(self, group):
        """Return whether all members of a group still belong to it."""
        return all(
            (member := self.fleet.get(name)) is not None
            and not member.has_ended
            and member.group is not None
            and member.group.key == group.key
            for name in group.members
        )

    async def _watch_members(self, group):
        """Break the group once it has stood still for the stall time."""
        whole_at = time.monotonic()
        while self.group is group and group.state in ("open", "closing"):
            if self._is_whole(group):
                whole_at = time.monotonic()
            elif time.monotonic() - whole_at > self.stall_seconds:
                group.state = "broken"
                self.register()
                self.site.note(f"{self.name} is broken in {group.name}")
                return
            await asyncio.sleep(0.05)

    def _close(self, group, mode):
        if group.state != "open":
            return 200 if group.state == "ready" else 409
        self.seq += 1
        group.state = "closing"
        self.register()
        self._change = asyncio.create_task(self._finish(group, mode))
        return 202

    async def _finish(self, group, mode):
        while self.running and mode != "cancel":
            await asyncio.sleep(0.02)
        if group.state == "closing":
            group.state = "ready"
            self.register()

    def _stage(self, model):
        if model in self.staged:
            return 200
        self.seq += 1
        asyncio.create_task(self._stage_later(model))
        return 202

    async def _stage_later(self, model):
        await self._load_weights(model)
        self.staged = [model]
        self.register()

    # Requests.

    async def serve(self, request):
        """Stream events while the group lasts; refuse unless it is open."""
        group = self.group
        if group is None or group.rank:
            return http.Answer(421, {"Replica-Id": self.name})
        if group.state != "open":
            return http.Answer(503, {"Not-Executed": "1"})
        attempt = request.headers.get("attempt-id", "")
        self.ran.append(attempt)
        self.site.note(f"{self.name} runs {attempt} in {group.name}")
        self._check_run(group, attempt)
        last = int(request.headers.get("last-event-id", "0"))
        return http.Answer(
            200,
            {**self._seal(attempt), "Content-Type": "text/event-stream"},
            events=self._events(group, attempt, last),
        )

    def _check_run(self, group, attempt):
        """Check the rule PARTIAL for a request that begins to run."""
        for member in group.members:
            if (member, group.key) not in self.ever_ready:
                text = (
                    f"{attempt} begins to run at {self.name} in {group.name} "
                    f"{list(group.members)}, where {member} was never ready"
                )
                self.breaks.append(text)
                self.site.note(f"PARTIAL: {text}")

    async def _events(self, group, attempt, last):
        self.running += 1
        try:
            for number in range(last + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_SECONDS)
                await asyncio.sleep(self.silent_until - time.monotonic())
                while self.group is group and not self._is_whole(group):
                    if group.state == "broken":
                        break
                    await asyncio.sleep(0.05)
                if self.group is not group or group.state == "broken":
                    self.cut_off.append(attempt)
                    self.site.note(
                        f"{self.name} cuts off {attempt}: {group.name} has "
                        "ended or is broken"
                    )
                    raise OSError("the group has ended")
                yield b"id: %d\ndata: token\n\n" % number
            self.finished.append(attempt)
        finally:
            self.running -= 1
            if attempt not in self.finished:
                self.site.note(f"{self.name} has not finished {attempt}")
