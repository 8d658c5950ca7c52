"""Run a small deployment of real processes behind the proxy."""

import concurrent.futures
import dataclasses
import hashlib
import json
import pathlib
import re
import threading
import time
import typing
from typing import Final

import msgspec

from tests import processes
from tests import recordings
from tests.scenarios import load

POISON_TEXT: Final = "crash-the-engine"
GROUP_SIZE: Final = 2
LIST_LAG_SECONDS: Final = 0.3
START_THREADS: Final = 6
SAMPLE_INTERVAL_SECONDS: Final = 0.2


class Topology(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the size of a site; each zone has one fabric domain."""

    zones: tuple[str, ...] = ("kochi", "thrissur")
    engines_per_zone: int = 4
    routers: int = 2
    controllers: int = 2


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configure the engines of a site; times are in seconds."""

    cold_seconds: float = 0.5
    token_seconds: float = 0.005
    honours_fencing: bool = True


@dataclasses.dataclass
class Instance:
    """Describe an endpoint instance, its process and its proxy link."""

    id: str
    zone: str
    runs: str
    process: processes.Process
    link: str
    state: str = "live"

    def list_entry(self) -> dict[str, str]:
        """Return the entry of the instance in the platform's list."""
        return {
            "id": self.id,
            "address": self.link,
            "zone": self.zone,
            "domain": f"{self.zone}-1",
            "runs": self.runs,
            "state": self.state,
        }


class Site:
    """Start and stop the processes of one site and look up their links."""

    def __init__(
        self,
        fleet: processes.Fleet,
        directory: pathlib.Path,
        topology: Topology,
        engines: EngineSettings,
    ) -> None:
        """Start all processes and wait until routers know all endpoints."""
        self.fleet: Final = fleet
        self.topology: Final = topology
        self.records: list[recordings.Record] = []
        self.daemons: dict[str, processes.Process] = {}
        self.router_names: list[str] = []
        self.links: dict[str, str] = {}
        self.rejected_applies: list[str] = []
        self._directory = directory
        self._engine_settings = engines
        self._apply_count = 0
        self._instances_lock = threading.Lock()
        self.platform = self._start_standin("platform", "platform")
        self.set_platform_faults(list_lag=LIST_LAG_SECONDS)
        fleet.start_proxy()
        self.instance_by_id = {i.id: i for i in self._start_instances()}
        self.publish_instances()
        assert self.apply([]), self.rejected_applies
        names = [f"router-{n + 1}" for n in range(topology.routers)]
        names += [f"controller-{n + 1}" for n in range(topology.controllers)]
        with concurrent.futures.ThreadPoolExecutor(START_THREADS) as pool:
            list(pool.map(self.start_daemon, names))
        expected = len(topology.zones) * (topology.engines_per_zone // 2 + 1)
        for name in self.router_names:
            processes.wait_for(
                lambda: self.health(name).get("endpoints", 0) >= expected, 30
            )
        time.sleep(engines.cold_seconds)

    def balanced_routers(self) -> list[load.Router]:
        """Return the routers that a load balancer would use."""
        return [
            load.Router(name, self.daemons[name].address)
            for name in list(self.router_names)
        ]

    def resolve_target(self, target: str) -> list[str]:
        """Return the names for a target; a zone yields its instances."""
        if target in self.topology.zones:
            return [
                i.id for i in self.instance_by_id.values() if i.zone == target
            ]
        return [target]

    def process(self, name: str) -> processes.Process:
        """Return the process of an instance or a daemon."""
        if name == "platform":
            return self.platform
        if name in self.daemons:
            return self.daemons[name]
        return self.instance_by_id[name].process

    def link_address(self, name: str) -> str:
        """Return the proxied address of a link or an instance."""
        if name in self.links:
            return self.links[name]
        return self.instance_by_id[name].link

    def health(self, router: str) -> dict[str, typing.Any]:
        """Return the health report of a router, empty on failure."""
        try:
            answer = processes.request(
                self.daemons[router].address, "GET", "/healthz", seconds=1.0
            )
            return dict(answer.json())
        except (OSError, ValueError):
            return {}

    def start_daemon(self, name: str) -> None:
        """Start a router or controller with its own proxy links."""
        link = self.fleet.open_link(self.platform.address)
        self.links[f"{name}>platform"] = link
        peer_address = processes.free_address()
        peer_link = self.fleet.open_link(peer_address)
        self.links[f"peers>{name}"] = peer_link
        role, number = name.split("-")[:2]
        zone = self.topology.zones[int(number) % len(self.topology.zones)]
        start = getattr(self.fleet, f"start_{role}")
        self.daemons[name] = start(
            name,
            zone,
            link,
            "--peer-listen",
            peer_address,
            "--peer-advertise",
            peer_link,
        )
        self.fleet.register_source(name, self.daemons[name])
        if role == "router":
            self.router_names.append(name)

    def start_naive_router(self) -> None:
        """Replace all routers by one naive router."""
        answer = processes.request(
            self.platform.address, "GET", "/v1/object/assignment"
        )
        by_service: dict[str, list[str]] = {}
        for stored in answer.json()["objects"]:
            for group in stored["value"]["groups"]:
                addresses = by_service.setdefault(group["service"], [])
                addresses.append(group["members"][0]["address"])
        naive = self.fleet.start_listening(
            "tests.naive", "--endpoints", json.dumps(by_service)
        )
        self.daemons["naive-1"] = naive
        self.router_names[:] = ["naive-1"]

    def restart(self, name: str) -> None:
        """Restart a killed process; an instance keeps its address."""
        if name in self.daemons:
            self.start_daemon(name)
            return
        instance = self.instance_by_id[name]
        address = instance.process.address
        instance.process = self._start_instance(
            instance.id, instance.runs, "--listen", address
        )

    def set_platform_faults(self, **faults: object) -> None:
        """Replace the faults of the platform."""
        all_faults = {"list_lag": LIST_LAG_SECONDS, **faults}
        processes.request(
            self.platform.address, "PUT", "/standin/faults", all_faults
        )

    def publish_instances(self) -> None:
        """Publish the current instances to the platform."""
        with self._instances_lock:
            entries = [
                instance.list_entry()
                for instance in self.instance_by_id.values()
                if instance.state != "gone"
            ]
            processes.request(
                self.platform.address, "PUT", "/standin/instances", entries
            )

    def apply(self, zones_out: list[str]) -> bool:
        """Apply a configuration; return whether it was accepted."""
        self._apply_count += 1
        file = self._directory / f"site-{self._apply_count}.yaml"
        file.write_text(json.dumps(self._configuration(zones_out)))
        sent_at = time.monotonic()
        applied = self.fleet.start(
            "sycamoredale",
            "apply",
            str(file),
            "--platform",
            self.platform.address,
        )
        assert applied.popen.stdout is not None
        output = applied.popen.stdout.read()
        if applied.popen.wait(20) != 0:
            self.rejected_applies.append(output + applied.log)
            return False
        match = re.search(r"generation (\d+)", output)
        assert match, output
        now = time.monotonic()
        generation = int(match.group(1))
        self.records.append(
            recordings.ConfigurationAccepted(
                now, sent_at, generation, zones_out
            )
        )
        return True

    def sample_generations(self) -> None:
        """Record the generation in force on each router that responds."""
        for name in list(self.router_names):
            now = time.monotonic()
            generation = self.health(name).get("generation")
            if generation is not None:
                self.records.append(
                    recordings.GenerationSample(now, name, generation)
                )

    def build_recording(
        self, calls: list[recordings.Call], limits: recordings.Limits
    ) -> recordings.Recording:
        """Merge the records of all processes."""
        recorded = recordings.read(self._directory)
        return recordings.Recording([*recorded, *calls, *self.records], limits)

    def _configuration(self, zones_out: list[str]) -> dict[str, object]:
        zones = self.topology.zones
        replicas = len(zones) * self.topology.engines_per_zone // GROUP_SIZE
        key_sha256 = hashlib.sha256(load.API_KEY.encode()).hexdigest()
        withdrawals = {
            "path": "/withdrawals",
            "methods": ["POST"],
            "idempotent": False,
        }
        assistant = {
            "name": "assistant",
            "kind": "model",
            "replicas": replicas,
            "instances_per_replica": GROUP_SIZE,
            "version": "v1",
        }
        if not self._engine_settings.honours_fencing:
            assistant["fencing"] = "ignored"
        bookings = {
            "name": "bookings",
            "kind": "plain",
            "replicas": len(zones),
            "routes": [withdrawals],
        }
        return {
            "services": [assistant, bookings],
            "versions": [
                {"name": "v1", "service": "assistant", "weights": "w1"}
            ],
            "organisations": [{"name": "concierge", "key_sha256": key_sha256}],
            "zones": [
                {"name": z, "state": "out" if z in zones_out else "in"}
                for z in zones
            ],
        }

    def _start_instances(self) -> typing.Iterator[Instance]:
        with concurrent.futures.ThreadPoolExecutor(START_THREADS) as pool:
            yield from pool.map(self._create_instance, self._instance_specs())

    def _instance_specs(self) -> typing.Iterator[tuple[str, str, str]]:
        for zone in self.topology.zones:
            for number in range(self.topology.engines_per_zone):
                yield f"{zone}-{number}", zone, "engine"
            yield f"{zone}-ledger", zone, "bookings"

    def _create_instance(self, spec: tuple[str, str, str]) -> Instance:
        name, zone, runs = spec
        process = self._start_instance(name, runs)
        link = self.fleet.open_link(process.address)
        return Instance(name, zone, runs, process, link)

    def _start_instance(
        self, name: str, runs: str, *arguments: str
    ) -> processes.Process:
        if runs == "bookings":
            return self._start_standin(
                name, "ledger", "--instance", name, *arguments
            )
        settings = {
            "instance": name,
            **msgspec.to_builtins(self._engine_settings),
        }
        engine = self._start_standin(
            name, "engine", "--settings", json.dumps(settings), *arguments
        )
        processes.request(
            engine.address, "PUT", "/standin/faults", {"poison": POISON_TEXT}
        )
        return engine

    def _start_standin(
        self, name: str, kind: str, *arguments: str
    ) -> processes.Process:
        file = self._directory / f"{name}.jsonl"
        return self.fleet.start_standin(
            kind, "--record", str(file), *arguments
        )
