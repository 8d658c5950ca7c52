"""Carry out the fault injections and changes of a scenario."""

import collections.abc
import threading
import time
from typing import Final

import msgspec

from tests import processes
from tests import recordings
from tests.scenarios import load
from tests.scenarios import site as site_module

POISON_ATTEMPTS: Final = 4
REVIVE_INTERVAL_SECONDS: Final = 0.3


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schedule an action on a target; times are in seconds.

    `at` counts from the start of the load.  `target` names a process and
    `link` a proxy link; a zone stands for all of its instances.  A lasting
    action is reverted after `seconds`.
    """

    at: float
    do: str
    target: str = ""
    link: str = ""
    seconds: float = 0.0
    set: dict[str, object] = {}
    zones_out: list[str] = []


Action = collections.abc.Callable[
    [site_module.Site, load.LoadGenerator, Event], None
]


def kill(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Kill and unlist processes; restart them after the time, if set."""
    _kill_processes(site, event, stays_listed=False)


def crash(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Kill processes whose instances stay listed."""
    _kill_processes(site, event, stays_listed=True)


def pause(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Suspend processes for a time."""
    names = site.resolve_target(event.target)
    started = time.monotonic()
    for name in names:
        site.process(name).pause()
    time.sleep(event.seconds)
    _record_outage(site, names, started, killed=False)
    for name in names:
        site.process(name).resume()


def faults(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Set faults of links."""
    names = site.resolve_target(event.link)
    started = time.monotonic()
    for name in names:
        site.fleet.set_faults(site.link_address(name), **event.set)
    blocked = [n.partition(">")[0] for n in names]
    if event.seconds:
        time.sleep(event.seconds)
        _record_outage(
            site, blocked, started, killed=False, reachable_by_callers=True
        )
        for name in names:
            site.fleet.set_faults(site.link_address(name))


def isolate(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Partition a daemon from its peers, in both directions."""
    started = time.monotonic()
    own = f"peers>{event.target}"
    others = [n for n in site.links if n.startswith("peers>") and n != own]
    site.fleet.set_faults(site.link_address(own), blocked=True)
    for name in others:
        faults = {"blocked_sources": [event.target]}
        site.fleet.set_faults(site.link_address(name), **faults)
    time.sleep(event.seconds)
    _record_outage(
        site, [event.target], started, killed=False, reachable_by_callers=True
    )
    for name in [own, *others]:
        site.fleet.set_faults(site.link_address(name))


def silence(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Block all data on the open connections of links for good."""
    for name in site.resolve_target(event.link):
        site.fleet.silence_connections(site.link_address(name))


def cut(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Close the open connections of links."""
    for name in site.resolve_target(event.link):
        site.fleet.cut_connections(site.link_address(name))


def platform(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Set faults of the platform."""
    site.set_platform_faults(**event.set)
    if event.seconds:
        time.sleep(event.seconds)
        site.set_platform_faults()


def standin(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Set faults of endpoint stand-ins."""
    for name in site.resolve_target(event.target):
        address = site.process(name).address
        merged = {"poison": site_module.POISON_TEXT, **event.set}
        processes.request(address, "PUT", "/standin/faults", merged)


def cold(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Start a cold start of engines."""
    for name in site.resolve_target(event.target):
        if not name.endswith("ledger"):
            address = site.process(name).address
            processes.request(address, "PUT", "/standin/cold")


def apply(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Apply a configuration with some zones taken out of service."""
    site.apply(event.zones_out)


def race(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Apply a configuration from two operators concurrently."""
    threads = [
        threading.Thread(target=site.apply, args=(event.zones_out,))
        for _ in range(2)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def leave(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """List instances as leaving; kill them after the time, if set."""
    names = site.resolve_target(event.target)
    for name in names:
        _set_state(site, name, "leaving")
    if event.seconds:
        time.sleep(event.seconds)
        for name in names:
            site.process(name).kill()
            _set_state(site, name, "gone")


def replace_routers(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Replace the routers one by one while the load continues."""
    for name in list(site.router_names):
        site.start_daemon(f"{name}-new")
        processes.wait_for(lambda: site.health(f"{name}-new").get("endpoints"))
        process = site.daemons[name]
        site.router_names.remove(name)
        started = time.monotonic()
        process.terminate(30.0)
        site.records.append(
            recordings.PlannedStop(started, time.monotonic(), name)
        )


def replace_controllers(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Replace the controllers one by one while the load continues."""
    names = [name for name in site.daemons if name.startswith("controller-")]
    for name in names:
        site.start_daemon(f"{name}-new")
        time.sleep(event.seconds)
        site.daemons[name].terminate(30.0)


def poison(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Send a request that crashes engines, several times."""
    text = f"{site_module.POISON_TEXT} {event.at}"
    generator.send_repeatedly(text, POISON_ATTEMPTS)


def revive(
    site: site_module.Site, generator: load.LoadGenerator, event: Event
) -> None:
    """Restart crashed engines until the time is over."""
    until = time.monotonic() + event.seconds
    while time.monotonic() < until:
        time.sleep(REVIVE_INTERVAL_SECONDS)
        for instance in site.instance_by_id.values():
            if instance.process.popen.poll() is not None:
                started = time.monotonic() - REVIVE_INTERVAL_SECONDS
                _record_outage(site, [instance.id], started, killed=True)
                site.restart(instance.id)


def _kill_processes(
    site: site_module.Site, event: Event, stays_listed: bool
) -> None:
    names = site.resolve_target(event.target)
    started = time.monotonic()
    for name in names:
        site.process(name).kill()
        if not stays_listed:
            _set_state(site, name, "gone")
    _remove_from_balancer(site, names)
    _restart_later(site, event, names, started)


def _remove_from_balancer(site: site_module.Site, names: list[str]) -> None:
    for name in names:
        if name in site.router_names:
            site.router_names.remove(name)


def _restart_later(
    site: site_module.Site, event: Event, names: list[str], started: float
) -> None:
    if not event.seconds:
        _record_outage(site, names, started, killed=True, until=float("inf"))
        return
    time.sleep(max(0.0, started + event.seconds - time.monotonic()))
    _record_outage(site, names, started, killed=True)
    for name in names:
        site.restart(name)
    for name in names:
        _set_state(site, name, "live")


def _set_state(site: site_module.Site, name: str, state: str) -> None:
    instance = site.instance_by_id.get(name)
    if instance is not None:
        instance.state = state
        site.publish_instances()


def _record_outage(
    site: site_module.Site,
    names: list[str],
    started: float,
    *,
    killed: bool,
    reachable_by_callers: bool = False,
    until: float | None = None,
) -> None:
    ended = time.monotonic() if until is None else until
    for name in names:
        site.records.append(
            recordings.Outage(
                started, ended, name, killed, reachable_by_callers
            )
        )


ACTION_BY_NAME: Final[dict[str, Action]] = {
    action.__name__: action
    for action in (
        apply,
        cold,
        crash,
        cut,
        faults,
        isolate,
        kill,
        leave,
        pause,
        platform,
        poison,
        race,
        replace_controllers,
        replace_routers,
        revive,
        silence,
        standin,
    )
}
