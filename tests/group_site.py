"""Start a platform, engines and controllers for tests of groups."""

import collections.abc
import dataclasses
import json
import typing

import curio
import msgspec

from sycamoredale.config import model as config_model
from sycamoredale.config import store as config_store
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.object_api import objects
from tests import processes


@dataclasses.dataclass
class GroupSite:
    """Control the processes of one site; engines by instance id."""

    fleet: processes.Fleet
    platform: processes.Process
    engines: dict[str, processes.Process] = dataclasses.field(
        default_factory=dict
    )
    listed: dict[str, dict[str, object]] = dataclasses.field(
        default_factory=dict
    )

    def add_engines(
        self,
        names: collections.abc.Iterable[str],
        domain: str,
        zone: str = "kochi",
        **settings: object,
    ) -> None:
        """Start engines concurrently and add them to the list."""
        for name in names:
            text = json.dumps(
                {"instance": name, "cold_seconds": 0, **settings}
            )
            self.engines[name] = self.fleet.start(
                "sycamoredale.standins", "engine", "--settings", text
            )
            self.listed[name] = {"id": name, "zone": zone, "domain": domain}

    def apply_two_member_group(self) -> None:
        """Configure one group of two engines with one spare."""
        self.add_engines(("e0", "e1", "e2"), "d1")
        self.publish()
        self.apply(services=[service(1, 2)], zones=[{"name": "kochi"}])

    def publish(self) -> None:
        """Publish the instance list."""
        for name, process in self.engines.items():
            assert process.popen.stdout is not None
            if not process.address:
                process.address = process.popen.stdout.readline().strip()
                self.listed[name]["address"] = process.address
        listed = list(self.listed.values())
        processes.request(
            self.platform.address, "PUT", "/standin/instances", listed
        )

    def apply(self, **configuration: object) -> None:
        """Apply a configuration."""
        parsed = msgspec.convert(configuration, config_model.Configuration)
        curio.run(_accept, self.platform.address, parsed)

    def faults(self, **faults: object) -> None:
        """Set the faults of the platform."""
        processes.request(
            self.platform.address, "PUT", "/standin/faults", faults
        )

    def engine_faults(self, name: str, **faults: object) -> None:
        """Set the faults of an engine."""
        address = self.engines[name].address
        processes.request(address, "PUT", "/standin/faults", faults)

    def controller(self, name: str) -> processes.Process:
        """Start a controller."""
        return self.fleet.start(
            "sycamoredale",
            "controller",
            "--daemon-id",
            name,
            "--zone",
            "kochi",
            "--platform",
            self.platform.address,
            "--interval-seconds",
            "0.2",
        )

    def groups(self) -> list[dict[str, typing.Any]]:
        """Return the groups of all domains."""
        answer = processes.request(
            self.platform.address, "GET", "/v1/object/assignment"
        )
        return [
            group
            for stored in answer.json()["objects"]
            for group in stored["value"]["groups"]
        ]

    def ready(self) -> list[set[str]]:
        """Return the members of each ready group."""
        return [_members(g) for g in self.groups() if g["state"] == "ready"]

    def wait_ready(self, *wanted: set[str], seconds: float = 20.0) -> None:
        """Wait until the ready groups are exactly the wanted ones."""

        def reached() -> bool:
            ready = self.ready()
            return len(ready) == len(wanted) and all(
                group in ready for group in wanted
            )

        processes.wait_for(reached, seconds)

    def history(self, domain: str) -> list[dict[str, typing.Any]]:
        """Return all past assignments of a domain."""
        answer = processes.request(
            self.platform.address,
            "GET",
            f"/standin/history/assignment/{domain}",
        )
        return list(answer.json())

    def orders(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the orders that an engine has obeyed."""
        answer = processes.request(
            self.engines[name].address, "GET", "/standin/orders"
        )
        return list(answer.json())


def start(fleet: processes.Fleet) -> GroupSite:
    """Start a platform without instances."""
    return GroupSite(fleet, fleet.start_standin("platform"))


def service(
    replicas: int, size: int, name: str = "assistant", **fields: object
) -> dict[str, object]:
    """Return a model service in the format of the configuration file."""
    return {
        "name": name,
        "kind": "model",
        "replicas": replicas,
        "instances_per_replica": size,
        "version": "v1",
        **fields,
    }


def assert_sound(
    history: collections.abc.Iterable[dict[str, typing.Any]],
) -> None:
    """Check that no instance is assigned twice and epochs never decrease."""
    epoch = 0
    for assignment in history:
        assert assignment["epoch"] >= epoch
        epoch = assignment["epoch"]
        members = [
            member["instance"]
            for group in assignment["groups"]
            for member in group["members"]
        ]
        assert len(members) == len(set(members))


def _members(group: dict[str, typing.Any]) -> set[str]:
    return {member["instance"] for member in group["members"]}


async def _accept(
    address: str, configuration: config_model.Configuration
) -> None:
    store = objects.ObjectStore(messages.parse_address(address), client.Pool())
    seen = await config_store.read(store)
    await config_store.accept(store, seen, configuration)
