"""Stand-ins of the platform, its replicas and its clients, for review cases.

Everything runs on loopback addresses, with the standard library only. The
store, the replicas and the clients share the process of the case; each daemon
is a process of its own, started with the command of the deploy file.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
STORE_DELAY_S = 0.004
READY_INTERVAL_S = 1.0


class CannotRun(Exception):
    """The case could not be played; the run ends with status 2."""


def pick_network():
    """Return a random loopback /16 prefix, such as `127.81`."""
    return f"127.{random.SystemRandom().randrange(20, 250)}"


def free_port(hosts):
    """Return a port that is free on all hosts; raise CannotRun."""
    rng = random.SystemRandom()
    for _ in range(200):
        port = rng.randrange(16000, 32000)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return port
    raise CannotRun("no free port")


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self._file = open(path, "w")

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began

    def write(self, *words):
        """Write one line."""
        line = f"{self.now():9.3f} " + " ".join(map(str, words))
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, *words):
        """Write one line here and to the output of the script."""
        self.write(*words)
        print(*words, flush=True)


async def read_head(reader):
    """Return the first line and the header fields, None at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Return the first line, the header fields and the body."""
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


def encode(first, fields, body=b""):
    """Return a message with the length of its body."""
    lines = [first, *(f"{name}: {value}" for name, value in fields)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    except OSError:
        pass
    writer.transport.abort()


class Store:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.revision = 100
        self.objects = collections.defaultdict(dict)
        self.history = []
        self.changed = asyncio.Event()
        # Returns how to treat a call: None, or a coroutine that ends it.
        self.intercept = lambda method, target, peer: None

    async def start(self):
        """Listen for calls."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**22
        )

    def put(self, kind, name, spec):
        """Write an object as another writer, for example the operator."""
        known = self.objects[kind].get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "rev": self.revision,
                "created": (
                    known["metadata"]["created"] if known else self.revision
                ),
                "finalizers": [],
                "delete_pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = stored
        self._note(kind, stored, False)
        return stored

    def delete(self, kind, name):
        """Delete an object, if there is one."""
        stored = self.objects[kind].pop(name, None)
        if stored is not None:
            self.revision += 1
            self._note(kind, stored, True)

    def _note(self, kind, stored, deleted):
        self.history.append((self.revision, kind, stored, deleted))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                treatment = self.intercept(method, target, peer)
                if treatment is not None:
                    await treatment
                    return
                await asyncio.sleep(STORE_DELAY_S)
                status, value = await self._handle(method, target, body)
                fields = [("Content-Type", "application/json")]
                data = json.dumps(value).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", fields, data))
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split("/")[3:]]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        known = self.objects[kind].get(name) if name else None
        if method == "GET" and name:
            return (200, known) if known else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            names = sorted(self.objects[kind])
            if "after" in query:
                names = [n for n in names if n > query["after"]]
            items = [self.objects[kind][n] for n in names[:500]]
            more = len(names) > 500
            return 200, {
                "items": items,
                "has_more": more,
                "at": self.revision,
            }
        if method == "DELETE":
            if known is None:
                return 404, {}
            if (
                "rev" in query
                and int(query["rev"]) != known["metadata"]["rev"]
            ):
                return 409, known
            self.delete(kind, name)
            return 200, known
        value = json.loads(body)
        if method == "POST":
            name = value["metadata"]["name"]
            if name in self.objects[kind]:
                return 409, self.objects[kind][name]
            return 201, self.put(kind, name, value.get("spec"))
        if known is None:
            return 404, {}
        wanted = value.get("metadata", {}).get("rev")
        if wanted is not None and wanted != known["metadata"]["rev"]:
            return 409, known
        return 200, self.put(kind, name, value.get("spec"))

    async def _watch(self, kind, query):
        after = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, of_kind, stored, deleted in self.history
                if revision > after and of_kind == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica:
    """One plain replica; each start is a new lifetime with a new id.

    `on_run` is called with the replica and the request when it begins to
    run, and returns how long it takes in seconds, or None if the request
    crashes the replica.
    """

    def __init__(self, site, name, zone, host, port, service="app", slots=6):
        self.site, self.name, self.zone = site, name, zone
        self.host, self.port = host, port
        self.service, self.slots = service, slots
        self.work_s = 0.03
        self.cold_s = 0.0
        # Whether a restart has the id that the replica had.
        self.keeps_id = False
        self.queue = 24
        self.lives = 0
        self.id = None
        self.up = False
        self.state = "ready"
        self.on_run = lambda replica, request: self.work_s
        self._writers = set()

    async def start(self):
        """Begin a lifetime: listen, and register in the store."""
        self.lives += 1
        if not self.keeps_id or self.id is None:
            self.id = f"i-{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.running = self.waiting = 0
        self.slot = asyncio.Semaphore(self.slots)
        self.up = True
        self.state = "ready"
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**22, backlog=512
        )
        self.site.record.write("replica", self.id, "starts")
        self._beats = asyncio.ensure_future(self._beat(self.id))

    def entry(self):
        """Return the entry of this lifetime in the store."""
        return {
            "backend": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": max(
                0, int(1000 * (self.cold_s - time.time()) + self.born)
            ),
            "seq": 0,
            "born": self.born,
        }

    async def _beat(self, name):
        while True:
            self.site.store.put("servers", name, self.entry())
            self.site.beat_at[name] = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self, down_s):
        """End this lifetime without a word, and start again later."""
        if not self.up:
            return
        self.up = False
        self.site.record.write("replica", self.id, "crashes")
        self._beats.cancel()
        self.server.close()
        for writer in list(self._writers):
            reset(writer)
        await asyncio.sleep(down_s)
        await self.start()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        life = self.lives
        try:
            while True:
                first, headers, body = await read_message(reader)
                answer = await self._answer(first, headers, body, life)
                if answer is None or life != self.lives or not self.up:
                    return
                writer.write(answer)
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first, headers, body, life):
        method, target, _ = first.split(" ")
        attempt = headers.get("attempt-id", "")
        fields = [("Attempt-Id", attempt)] if attempt else []
        expected = headers.get("expect-replica")
        if expected is not None and expected != self.id:
            self.site.record.write("reject421", self.id, attempt)
            fields.append(("Not-Executed", "1"))
            return encode("HTTP/1.1 421 X", fields)
        if target == "/healthz":
            return encode("HTTP/1.1 200 OK", [("Replica-Id", self.id)])
        if self.running >= self.slots and self.waiting >= self.queue:
            fields.append(("Not-Executed", "1"))
            return encode("HTTP/1.1 503 X", fields)
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            if life != self.lives or not self.up:
                return None
            request = Request(method, target, headers, body, attempt)
            self.site.record.write(
                "run", self.id, attempt, method, target, headers.get("tenant")
            )
            seconds = self.on_run(self, request)
            if seconds is None:
                asyncio.ensure_future(self.crash(self.site.down_s))
                return None
            self.running += 1
            try:
                await asyncio.sleep(seconds)
            finally:
                self.running -= 1
        load = f"{self.running},{self.waiting},{self.slots}"
        fields += [("Replica-Seal", f"seal.{attempt}"), ("Replica-Load", load)]
        return encode("HTTP/1.1 200 OK", fields, b"done " + attempt.encode())


class Request:
    """One request as a replica received it."""

    def __init__(self, method, target, headers, body, attempt):
        self.method, self.target, self.headers = method, target, headers
        self.body, self.attempt = body, attempt


class Daemon:
    """One daemon process with its settings file."""

    def __init__(self, site, name, zone, host, ports):
        self.site, self.name, self.zone, self.host = site, name, zone, host
        self.ports = ports
        self.popen = None
        self.in_rotation = False
        self.misses = 2
        # Since when the daemon has run without a signal of the case.
        self.calm_since = time.monotonic()

    def settings(self):
        """Return the text of the settings file."""
        s = self.site
        host, p = self.host, self.ports
        zones = "".join(f"zones.{z}=region\n" for z in s.zones)
        bounds = "".join(f"bounds.{k}={v}\n" for k, v in s.bounds.items())
        return (
            f"node_name={self.name}\nrole=entry\nmachine_class=edge\n"
            f"serves=edge\nip={host}\nzone={self.zone}\nregion=region\n"
            f"{zones}"
            f"listen.front={host}:{p['front']}\n"
            f"listen.readiness={host}:{p['ready']}\n"
            f"internal_ports={p['internal']},{p['internal'] + 15}\n"
            "seeds=\n"
            f"bootstrap={'false' if self.site.started else 'true'}\n"
            "limits.cpu_share=0.537\nlimits.cores=2\nlimits.memory_mb=300\n"
            "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
            "discovery=platform\nentry=vip\n"
            f"heartbeat_ms={int(HEARTBEAT_S * 1000)}\n"
            "contracts=base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,places,platform,gangs\n"
            f"{bounds}"
            f"platform.addr={s.store.host}:{s.store.port}\n"
            "platform.form=objects\nplatform.writes_per_s=400\n"
            "platform.reads_per_s=2000\nplatform.history_s=20\n"
            "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        path = self.site.folder / f"{self.name}.conf"
        path.write_text(self.settings())
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = f"{ROOT / 'target/deps'}"
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["SYCAMOREDALE_SETTINGS"] = str(path)
        log = open(self.site.folder / f"{self.name}.log", "a")
        self.popen = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.misses = 2
        self.in_rotation = False
        self.calm_since = time.monotonic()
        self.site.record.write("daemon", self.name, "starts", self.popen.pid)

    def send_signal(self, number):
        """Send a signal; the machine counts as disturbed from now on."""
        self.calm_since = float("inf")
        name = signal.Signals(number).name
        self.site.record.write("daemon", self.name, "gets", name)
        self.popen.send_signal(number)

    async def wait_exit(self, seconds):
        """Wait for the end of the process; kill it after some seconds."""
        until = time.monotonic() + seconds
        while self.popen.poll() is None:
            if time.monotonic() > until:
                self.popen.kill()
            await asyncio.sleep(0.02)
        self.site.record.write(
            "daemon", self.name, "ended", self.popen.returncode
        )
        return self.popen.returncode

    async def check_ready(self):
        """Ask for readiness once, as the platform does."""
        try:
            answer = await call(
                self.host,
                self.ports["ready"],
                "GET",
                "/v1/ready",
                [("Host", "platform")],
                b"",
                1.0,
            )
            ok = answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            ok = False
        if ok:
            self.misses = 0
            self.in_rotation = True
        else:
            self.misses += 1
            self.in_rotation = self.in_rotation and self.misses < 2


class Answer:
    """The answer to one request."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def call(host, port, method, target, fields, body, seconds):
    """Send one request on a new connection and return its answer.

    Raises OSError, IncompleteReadError or TimeoutError.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            await writer.drain()
            first, headers, data = await read_message(reader)
            return Answer(int(first.split(" ")[1]), headers, data)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), seconds)


class Site:
    """A small deployment: a store, replicas and daemons."""

    zones = ["za", "zb", "zc"]

    def __init__(self, here, daemons=3, replicas=3):
        self.here = pathlib.Path(here)
        self.record = Record(self.here / "record.txt")
        import tempfile

        self._temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = pathlib.Path(self._temporary.name)
        self.started = False
        self.down_s = 3.0
        self.beat_at = {}
        self.bounds = {
            "seed_lag_s": 3,
            "reuse_after_s": 2,
            "contact_ms": 3000,
            "ack_ms": 4000,
            "catch_up_s": 4,
            "drain_ms": 2000,
            "grace_s": 8,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "downgrade_ms": 250,
            "stretch_max_ms": 5000,
            "strict_revoke": "false",
            "revoke_ms": 5000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_burst": 136,
            "cold_overage_factor": 1.5,
            "warmup_burst": 5,
            "evacuate_ms": 5000,
            "recover_s": 12,
            "pass_ms": 120,
            "retry_after_s": 0,
            "stall_ms": 5000,
            "require_fence": "false",
            "ceiling_window_s": 5,
            "ceiling_tolerance": 1.1,
        }
        net = pick_network()
        hosts = [f"{net}.1.{n + 1}" for n in range(daemons)]
        other = [f"{net}.2.{n + 1}" for n in range(replicas)]
        store_host = f"{net}.3.1"
        front = free_port(hosts)
        ready = free_port(hosts)
        internal = free_port(hosts)
        ports = {"front": front, "ready": ready, "internal": internal}
        self.front = front
        self.store = Store(store_host, free_port([store_host]))
        port = free_port(other)
        self.replicas = [
            Replica(self, f"r{n + 1}", self.zones[n % 3], host, port)
            for n, host in enumerate(other)
        ]
        self.daemons = [
            Daemon(self, f"edge-{n + 1}", self.zones[n % 3], host, ports)
            for n, host in enumerate(hosts)
        ]
        self._tasks = []
        self._attempts = 0

    def manifest(self):
        """Return the manifest; cases may change it."""
        return {
            "version": 7,
            "routes": [
                {
                    "name": "book",
                    "hostname": "app.example",
                    "path_prefix": "/book/",
                    "kind": "non_idempotent",
                    "timeout_ms": 1200,
                    "slo_ms": 150,
                    "priority": 2,
                    "backend": "app",
                    "max_attempts": 1,
                },
                {
                    "name": "look",
                    "hostname": "app.example",
                    "path_prefix": "/look/",
                    "kind": "idempotent",
                    "timeout_ms": 1200,
                    "slo_ms": 150,
                    "priority": 2,
                    "backend": "app",
                    "max_attempts": 2,
                },
            ],
            "services": [
                {"name": "app", "health_path": "/healthz", "max_conns": 110}
            ],
            "tenants": [
                {"name": "tenant-a", "api_keys": ["key-a"]},
                {"name": "tenant-b", "api_keys": ["key-b"]},
            ],
            "limits": {
                "max_header_bytes": 65536,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 10000,
                "idle_timeout_ms": 15000,
            },
        }

    async def start(self):
        """Start everything and wait until all daemons are ready."""
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("target/deps is missing; build first")
        await self.store.start()
        self.store.put("config", "main", self.manifest())
        self._tasks.append(asyncio.ensure_future(self._expire()))
        for replica in self.replicas:
            await replica.start()
        for daemon in self.daemons:
            daemon.start()
        self._tasks.append(asyncio.ensure_future(self._platform()))
        until = time.monotonic() + 20
        while not all(d.in_rotation for d in self.daemons):
            if time.monotonic() > until:
                raise CannotRun("the daemons did not become ready")
            await asyncio.sleep(0.1)
        self.started = True
        await asyncio.sleep(3.0)

    async def _platform(self):
        while True:
            await asyncio.gather(*(d.check_ready() for d in self.daemons))
            await asyncio.sleep(READY_INTERVAL_S)

    async def _expire(self):
        """Remove entries after three intervals of silence."""
        while True:
            now = time.monotonic()
            for name, at in list(self.beat_at.items()):
                if now - at > 3 * HEARTBEAT_S:
                    del self.beat_at[name]
                    self.store.delete("servers", name)
            await asyncio.sleep(0.1)

    def attempt_id(self):
        """Return the id of a new attempt."""
        self._attempts += 1
        return f"{self._attempts:06d}{random.getrandbits(40):010x}"

    async def request(
        self,
        daemon,
        method,
        target,
        body=b"",
        seconds=2.5,
        key="key-a",
        fields=(),
    ):
        """Send one attempt to a daemon; return its id and its answer."""
        attempt = self.attempt_id()
        sent = [
            ("Host", "app.example"),
            ("Attempt-Id", attempt),
            ("Request-Deadline", str(int(seconds * 1000))),
            ("Authorization", f"Bearer {key}"),
            *fields,
        ]
        self.record.write("send", attempt, daemon.name, method, target)
        try:
            answer = await call(
                daemon.host,
                self.front,
                method,
                target,
                sent,
                body,
                seconds + 1,
            )
        except (
            OSError,
            asyncio.TimeoutError,
            asyncio.IncompleteReadError,
        ) as error:
            self.record.write("answer", attempt, daemon.name, repr(error))
            return attempt, None
        self.record.write("answer", attempt, daemon.name, answer.status)
        return attempt, answer

    def ready_daemons(self):
        """Return the daemons that receive new channels."""
        return [d for d in self.daemons if d.in_rotation]

    async def stop(self):
        """End all processes that the case started."""
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.popen is not None and daemon.popen.poll() is None:
                daemon.popen.send_signal(signal.SIGCONT)
                daemon.popen.kill()
        for daemon in self.daemons:
            if daemon.popen is not None:
                daemon.popen.wait()
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(
                self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True
            )
        self._temporary.cleanup()


def main(play, site):
    """Play a case; exit with 1 if its rule was broken, 0 if not, else 2."""

    async def run():
        try:
            await site.start()
            return await play(site)
        finally:
            await site.stop()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(run(), 118))
    except (CannotRun, asyncio.TimeoutError) as error:
        print("the case could not run:", repr(error))
        sys.exit(2)
    except Exception as error:  # A fault of the case, not of the daemons.
        import traceback

        traceback.print_exc()
        print("the case could not run:", repr(error))
        sys.exit(2)
    sys.exit(1 if broken else 0)
