"""Measure the cost of membership for each daemon by fleet size.

Run as `python -m benchmarks.fleet_cost --sizes 8,16,32`.  For each size, that
many idle routers run in three zones inside a separate network namespace, so
that the counters of its loopback interface contain all bytes, including the
TCP and IP headers.  Prints one JSON line for each figure.
"""

import ctypes
import fcntl
import os
import pathlib
import socket
import struct
import time
import typing

import click

from benchmarks import site
from tests import processes

CLONE_NEWNET: typing.Final = 0x40000000
SIOCGIFFLAGS: typing.Final = 0x8913
SIOCSIFFLAGS: typing.Final = 0x8914
PEERS_TIMEOUT_SECONDS: typing.Final = 90.0
IFF_UP: typing.Final = 0x1
ZONES: typing.Final = ("kochi", "thrissur", "kozhikode")


class Sample(typing.NamedTuple):
    """Record the totals over all daemons at one time."""

    seconds: float
    loopback_bytes: int
    cpu_seconds: float
    platform_calls: int


@click.command()
@click.option("--sizes", default="8,16,32,64")
@click.option("--settle-seconds", default=20.0)
@click.option("--window-seconds", default=20.0)
def main(sizes: str, settle_seconds: float, window_seconds: float) -> None:
    """Measure each fleet size."""
    isolate_network()
    for size in map(int, sizes.split(",")):
        with processes.Fleet() as fleet:
            _measure(fleet, size, settle_seconds, window_seconds)


def isolate_network() -> None:
    """Move this process into a new network namespace with loopback up."""
    library = ctypes.CDLL(None, use_errno=True)
    if library.unshare(CLONE_NEWNET) != 0:
        raise SystemExit(
            "cannot create a network namespace: "
            f"{os.strerror(ctypes.get_errno())}"
        )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        request = struct.pack("16sh14x", b"lo", 0)
        reply = fcntl.ioctl(sock, SIOCGIFFLAGS, request)
        (flags,) = struct.unpack_from("h", reply, 16)
        request = struct.pack("16sh14x", b"lo", flags | IFF_UP)
        fcntl.ioctl(sock, SIOCSIFFLAGS, request)


def _measure(
    fleet: processes.Fleet, size: int, settle: float, window: float
) -> None:
    platform = fleet.start_standin("platform")
    routers = start_routers(fleet, platform, size)
    time.sleep(settle)
    before = _sample(platform, routers)
    time.sleep(window)
    after = _sample(platform, routers)
    seconds = after.seconds - before.seconds
    bytes_per_daemon = (
        (after.loopback_bytes - before.loopback_bytes) / seconds / size
    )
    calls = (after.platform_calls - before.platform_calls) / seconds
    cpu = (after.cpu_seconds - before.cpu_seconds) / seconds / size
    memory = max(site.resident_bytes(r) for r in routers)
    labels: dict[str, object] = {"size": size, "size_unit": "daemons"}
    site.report("fleet.bytes_both_ways", 2 * bytes_per_daemon, "B/s", **labels)
    site.report("fleet.cpu", 100 * cpu, "% of a core", **labels)
    site.report("fleet.platform_calls", calls / size, "calls/s", **labels)
    site.report("fleet.memory", memory / 1e6, "MB", **labels)


def start_routers(
    fleet: processes.Fleet, platform: processes.Process, size: int
) -> list[processes.Process]:
    """Start routers and wait until all list each other as peers."""
    routers = []
    for number in range(size):
        routers.append(
            fleet.start_router(
                f"router-{number}", ZONES[number % 3], platform.address
            )
        )
    for router in routers:
        _wait_for_peers(router, size)
    return routers


def _wait_for_peers(router: processes.Process, size: int) -> None:
    processes.wait_for(lambda: _peers(router) == size, PEERS_TIMEOUT_SECONDS)


def _peers(router: processes.Process) -> int:
    health = processes.request(router.address, "GET", "/healthz")
    return int(health.json()["peers"])


def _sample(
    platform: processes.Process, routers: list[processes.Process]
) -> Sample:
    answer = processes.request(platform.address, "GET", "/standin/calls")
    return Sample(
        time.monotonic(),
        _loopback_bytes(),
        sum(site.cpu_seconds(router) for router in routers),
        sum(answer.json().values()),
    )


def _loopback_bytes() -> int:
    for line in pathlib.Path("/proc/self/net/dev").read_text().splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[0])
    raise RuntimeError("/proc/self/net/dev lists no loopback interface")


if __name__ == "__main__":
    main()
