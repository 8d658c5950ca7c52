"""Run daemons of the deploy file beside stand-ins, and end all of them."""

import asyncio
import collections
import collections.abc
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import tomllib
import traceback
import typing

import http_messages as http
import record as record_module
import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
METRICS_PORT = 9464
PEER_PORTS = 16
HOST_NAME = "assistant.example"
PATH_PREFIX = "/ask/"
KEY = "n2ctnfzs989anu6wsjnb"
ZONES = ("central-a", "central-b", "central-c")
START_SECONDS = 30.0
CLIENT_SECONDS = 5.0
SETTINGS = """\
node_name={name}
role=entry
machine_class=edge
serves=edge
ip={host}
zone={zone}
region=cr-central
zones.central-a=cr-central
zones.central-b=cr-central
zones.central-c=cr-central
listen.front={host}:{front}
listen.readiness={host}:{readiness}
internal_ports={first},{last}
bootstrap=true
in_tolerance=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,gangs
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_ms=250
bounds.stretch_max_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_burst=132
bounds.cold_overage_factor=1.5
bounds.warmup_burst=5
bounds.evacuate_ms=5000
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.stall_ms=5000
bounds.require_fence=false
bounds.ceiling_window_s=5
bounds.ceiling_tolerance=1.1
platform.addr={store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""

Case = collections.abc.Callable[["Site"], collections.abc.Awaitable[None]]


def free_ports(host: str, count: int) -> list[int]:
    """Return free ports of a host, in a row."""
    for _ in range(200):
        first = random.randrange(20000, 30000)
        sockets = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((host, port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise OSError("no free ports")


def free_host() -> str:
    """Return a loopback address whose metrics port is free."""
    for _ in range(200):
        host = ".".join(
            ["127", *(str(random.randrange(2, 250)) for _ in range(3))]
        )
        with socket.socket() as sock:
            try:
                sock.bind((host, METRICS_PORT))
                return host
            except OSError:
                continue
    raise OSError("no free loopback address")


class Daemon:
    """Hold one process of the deploy file."""

    def __init__(self, name: str, zone: str, host: str) -> None:
        """Set the identity."""
        self.name = name
        self.zone = zone
        self.host = host
        ports = free_ports(host, 2 + PEER_PORTS)
        self.front, self.readiness = ports[:2]
        self.first, self.last = ports[2], ports[-1]
        self.process: asyncio.subprocess.Process | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)


class Site:
    """Hold the store, the daemons and the clients of one case."""

    def __init__(
        self, recorder: record_module.Recorder, folder: pathlib.Path
    ) -> None:
        """Start without daemons."""
        self.recorder = recorder
        self.folder = folder
        self.store = store_module.Store(recorder)
        self.daemons: dict[str, Daemon] = {}
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.broken_rules: list[str] = []
        self.statuses: collections.Counter[str] = collections.Counter()
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    async def start_daemons(self, count: int) -> None:
        """Start daemons in the zones by turns, and wait until all listen."""
        for index in range(count):
            zone = ZONES[index % len(ZONES)]
            name = f"edge-{zone}-{index // len(ZONES) + 1}"
            daemon = Daemon(name, zone, free_host())
            self.daemons[name] = daemon
            await self._start(daemon)
        for daemon in self.daemons.values():
            await self._wait_until_ready(daemon)
        self.recorder.write("daemons_ready", daemons=list(self.daemons))

    async def _start(self, daemon: Daemon) -> None:
        store = await self.store.listen(daemon.name, "127.0.0.1")
        settings = self.folder / f"{daemon.name}.conf"
        settings.write_text(
            SETTINGS.format(
                name=daemon.name,
                host=daemon.host,
                zone=daemon.zone,
                front=daemon.front,
                readiness=daemon.readiness,
                first=daemon.first,
                last=daemon.last,
                store=store,
            )
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        log = (self.folder / f"{daemon.name}.log").open("wb")
        daemon.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.folder),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target/deps"),
                "SYCAMOREDALE_SETTINGS": str(settings),
            },
            stdout=log,
            stderr=log,
        )

    async def _wait_until_ready(self, daemon: Daemon) -> None:
        for _ in range(int(START_SECONDS / 0.1)):
            assert daemon.process is not None
            if daemon.process.returncode is not None:
                raise OSError(f"{daemon.name} has ended")
            if await self.status_of(daemon) == 200:
                return
            await asyncio.sleep(0.1)
        raise OSError(f"{daemon.name} is not ready")

    async def status_of(self, daemon: Daemon) -> int:
        """Return the status of a readiness probe, 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection(
                daemon.host, daemon.readiness
            )
            writer.write(http.encode("GET /v1/ready HTTP/1.1", {"Host": "x"}))
            answer = await asyncio.wait_for(http.read_message(reader), 2.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return 0
        return answer.status if answer else 0

    def spawn(self, work: collections.abc.Coroutine[None, None, None]) -> None:
        """Run a task until the end of the case."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_streams(self, model: str, per_second: float) -> None:
        """Send streams through the daemons by turns until cancelled."""
        number = 0
        daemons = list(self.daemons.values())
        while True:
            number += 1
            daemon = daemons[number % len(daemons)]
            self.spawn(self._send_stream(daemon, f"{number:016x}", model))
            await asyncio.sleep(1.0 / per_second)

    async def _send_stream(
        self, daemon: Daemon, attempt: str, model: str
    ) -> None:
        headers = {
            "Host": HOST_NAME,
            "Attempt-Id": attempt,
            "Model": model,
            "Token-Count": "700,80",
            "Prompt-Prefix": f"5c1e07a2:40,{attempt}:660",
            "Request-Deadline": str(int(CLIENT_SECONDS * 1000)),
            "Authorization": f"Bearer {KEY}",
        }
        status = "no connection"
        try:
            reader, writer = await asyncio.open_connection(
                daemon.host, daemon.front
            )
            writer.write(
                http.encode(f"POST {PATH_PREFIX}x HTTP/1.1", headers, b"ask")
            )
            answer = await asyncio.wait_for(
                http.read_message(reader), CLIENT_SECONDS + 1.0
            )
            status = str(answer.status) if answer else "cut"
            writer.close()
        except asyncio.TimeoutError:
            status = "no answer"
        except OSError:
            pass
        self.statuses[status] += 1
        self.recorder.write("answered", request=attempt, status=status)

    async def end(self) -> None:
        """End the tasks and the processes."""
        for task in list(self.tasks):
            task.cancel()
        for daemon in self.daemons.values():
            process = daemon.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()


async def _play(case: Case, record: pathlib.Path) -> int:
    kept = os.environ.get("KEEP_LOGS")
    with tempfile.TemporaryDirectory() as folder:
        site = Site(
            record_module.Recorder(record), pathlib.Path(kept or folder)
        )
        try:
            await asyncio.wait_for(case(site), 115.0)
        except Exception:
            site.recorder.write("could_not_run", why=traceback.format_exc())
            traceback.print_exc()
            return COULD_NOT_RUN
        finally:
            await site.end()
        site.recorder.write("statuses", **site.statuses)
        counts = dict(collections.Counter(site.broken_rules))
        site.recorder.write("ended", broken=counts)
        print("broken rules:", counts or "none", dict(site.statuses))
        return BROKEN if site.broken_rules else HELD


def run(case: Case, record: pathlib.Path) -> typing.NoReturn:
    """Play a case and exit with its result."""
    if not (ROOT / "target/deps").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        sys.exit(COULD_NOT_RUN)
    sys.exit(asyncio.run(_play(case, record)))


def manifest(
    service: str, models: list[dict[str, typing.Any]]
) -> dict[str, typing.Any]:
    """Return a manifest with one resumable route to a model service."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "ask",
                "hostname": HOST_NAME,
                "path_prefix": PATH_PREFIX,
                "kind": "streaming",
                "timeout_ms": 5000,
                "slo_ms": 200,
                "priority": 1,
                "backend": service,
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap_target_ms": 200,
            }
        ],
        "services": [
            {
                "name": service,
                "health_path": "/healthz",
                "max_conns": 384,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 0.0,
                "warmup_per_s": 0.0,
                "engine": {
                    "slots": 13,
                    "kv_capacity": 795000,
                    "kv_bytes": 655360,
                    "link_mbps": 400000.0,
                    "stride": 7,
                    "models": models,
                    "step_ms": 5.95,
                    "per_seq_ms": 0.089,
                    "context_per_k": 0.01626,
                    "read_per_s": 50700.0,
                    "pairs_per_m": 0.368,
                    "chunk": 2048,
                    "report_lag_ms": 200.0,
                    "loads_per_s": 4.5,
                    "loads_at_once": 6,
                    "delays": [],
                    "usual": {"prompt": 1115, "answer": 178},
                    "history_limit": 1,
                    "far_x": 3.0,
                    "form_ms": 300.0,
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }
