"""Start the project's daemons against stand-ins, and record what happens."""

import asyncio
import contextlib
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from standins import http
from standins import store as store_module

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("kochi", "thrissur", "kozhikode")
# A daemon listens at its front, readiness and control ports, and may use the
# peer ports; they are the same on all machines.
PEER_PORTS = 16
PORTS = 3 + PEER_PORTS
# Below those that the kernel gives to outgoing connections.
PORT_RANGE = range(16000, 32000 - PORTS)
# A case ends within two minutes, also if something hangs.
MAX_SECONDS = 110.0
# Those of the small deployment vh-cellars, as its sheet gives them.
BOUNDS = {
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


def _free_ports(host):
    """Return the first of PORTS free ports in a row at a loopback address."""
    while True:
        first = random.choice(PORT_RANGE)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + PORTS):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((host, port))
            except OSError:
                continue
        return first


class Site:
    """Hold the store, the daemons and the record of one run."""

    def __init__(self, folder):
        """Record to `record.txt` in a folder."""
        self.store = store_module.Store()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.daemons = []
        self.has_traffic = False
        self.began = time.monotonic()
        self._net = f"127.{random.randint(20, 120)}.{random.randint(1, 250)}"
        self._hosts = iter(range(10, 250))
        self.first_port = _free_ports(self.new_host())
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._record = open(pathlib.Path(folder) / "record.txt", "w")
        self.note(f"trouble: {self.trouble}")

    def note(self, text):
        """Write a line with the time since the start to the record."""
        now = time.monotonic() - self.began
        self._record.write(f"{now:8.3f} s  {text}\n")
        self._record.flush()

    def new_host(self):
        """Return a loopback address that this run does not use yet."""
        return f"{self._net}.{next(self._hosts)}"

    async def start_store(self):
        """Start the store; call this first."""
        await self.store.start(self.new_host())

    def start_daemons(self, count):
        """Start daemons in turn in the zones, with the deploy file's words."""
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        hosts = [self.new_host() for _ in range(count)]
        for number, host in enumerate(hosts):
            zone = ZONES[number % len(ZONES)]
            self.daemons.append(
                Daemon(self, f"edge-{zone}-{number + 1}", zone, host, hosts)
            )
        for daemon in self.daemons:
            daemon.start(role["run"].split(), self._directory)

    async def wait_ready(self, seconds=20.0):
        """Wait until all daemons are ready; raise TimeoutError."""
        async with asyncio.timeout(seconds):
            for daemon in self.daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.1)

    def end(self):
        """End all daemons, and keep nothing of them."""
        for daemon in self.daemons:
            daemon.kill()
        shutil.rmtree(self._directory, ignore_errors=True)
        self._record.close()


class Daemon:
    """One process of the project."""

    def __init__(self, site, name, zone, host, hosts):
        """Describe a daemon on a loopback address of its own."""
        self.site = site
        self.name = name
        self.zone = zone
        self.host = host
        first = site.first_port
        self.front = f"{host}:{first}"
        self._readiness = f"{host}:{first + 1}"
        self._control = f"{host}:{first + 2}"
        self._peer_ports = f"{first + 3},{first + 2 + PEER_PORTS}"
        self._seeds = [f"{h}:{first + 2}" for h in hosts[:3]]
        self._process = None

    def start(self, command, directory):
        """Start the process with a settings file in a directory."""
        settings = directory / f"{self.name}.conf"
        settings.write_text(self._settings())
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["SYCAMOREDALE_SETTINGS"] = str(settings)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = os.environ.get("DAEMON_LOGS")
        output = subprocess.DEVNULL
        if log:
            output = open(pathlib.Path(log) / f"{self.name}.log", "w")
        self._process = subprocess.Popen(
            command, cwd=ROOT, env=variables, stdout=output, stderr=output
        )
        self.site.note(f"{self.name} starts at {self.front}")

    async def is_ready(self):
        """Return whether the daemon says that it is ready."""
        reply = await http.call(
            self._readiness, "GET", "/v1/ready", {"Host": "ready"}, seconds=1.0
        )
        return reply.status == 200

    def has_ended(self):
        """Return whether the process has ended by itself."""
        return self._process is not None and self._process.poll() is not None

    def terminate(self):
        """Send SIGTERM."""
        self._process.send_signal(signal.SIGTERM)

    def kill(self):
        """End the process now."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def _settings(self):
        lines = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "edge",
            "serves": "edge",
            "ip": self.host,
            "zone": self.zone,
            "region": "kerala",
            **{f"zones.{zone}": "kerala" for zone in ZONES},
            "listen.front": self.front,
            "listen.readiness": self._readiness,
            "listen.control": self._control,
            "internal_ports": self._peer_ports,
            "seeds": ",".join(self._seeds),
            "bootstrap": "true",
            "in_tolerance": "true",
            "limits.cpu_share": 0.537,
            "limits.cores": 2,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "limits.disk_mb": 0,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,"
            "stream,tenants,places,platform,gangs",
            "tolerate.machines": 2,
            "tolerate.zones": 1,
            "tolerate.regions": 0,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "platform.addr": self.site.store.server.address,
            "platform.form": "objects",
            "platform.writes_per_s": 400,
            "platform.reads_per_s": 2000,
            "platform.history_s": 20,
            "platform.value_bytes": 1048576,
            "platform.ttl_min_ms": 1000,
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())


async def _play(main, site):
    try:
        async with asyncio.timeout(MAX_SECONDS):
            return await main(site)
    finally:
        for daemon in site.daemons:
            daemon.kill()
        for server in http.Server.all:
            server.crash()
        await asyncio.sleep(0.1)


def run(main, folder):
    """Run a case; exit with 1 if its rule broke, 0 if not, 2 if it failed.

    `main` is a coroutine function that takes a Site and returns a list of
    the breaks that it has seen.
    """
    site = Site(folder)
    try:
        breaks = asyncio.run(_play(main, site))
    except Exception as error:
        site.note(f"the case could not run: {error!r}")
        sys.exit(2)
    else:
        for line in breaks:
            site.note(f"BROKEN: {line}")
        site.note(f"{len(breaks)} breaks")
        print(f"{len(breaks)} breaks; see record.txt")
        sys.exit(1 if breaks else 0)
    finally:
        site.end()
