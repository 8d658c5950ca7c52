"""Test that the proxy injects exactly the configured faults."""

import collections.abc
import http.client
import os
import pathlib
import time

import pytest

from tests import processes
from tests import proxy


@pytest.fixture(scope="module")
def fleet() -> collections.abc.Iterator[processes.Fleet]:
    """Run one proxy for all tests of this module."""
    with processes.Fleet() as running:
        yield running


@pytest.fixture(scope="module")
def ledger(fleet: processes.Fleet) -> processes.Process:
    """Run a ledger as the upstream of all links."""
    return fleet.start_standin("ledger")


@pytest.fixture
def address(fleet: processes.Fleet, ledger: processes.Process) -> str:
    """Return the address of a new link to the ledger."""
    return fleet.open_link(ledger.address)


def test_forwards_both_directions(address: str) -> None:
    assert _inventory(address).status == 200


def test_delay_applies_to_each_chunk(
    fleet: processes.Fleet, address: str
) -> None:
    fleet.set_faults(address, delay=0.2)
    started = time.monotonic()
    assert _inventory(address).status == 200
    assert time.monotonic() - started >= 0.4


def test_blocked_bytes_arrive_later(
    fleet: processes.Fleet, address: str
) -> None:
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("GET", "/inventory")
    assert connection.getresponse().read()
    fleet.set_faults(address, blocked=True)
    with pytest.raises(OSError):
        _inventory(address, seconds=0.3)
    connection.request("GET", "/inventory")
    fleet.set_faults(address)
    assert connection.getresponse().status == 200


def test_silenced_connections_stay_silent_and_new_ones_work(
    fleet: processes.Fleet, address: str
) -> None:
    connection = http.client.HTTPConnection(address, timeout=0.3)
    connection.request("GET", "/inventory")
    assert connection.getresponse().read()
    fleet.silence_connections(address)
    connection.request("GET", "/inventory")
    with pytest.raises(TimeoutError):
        connection.getresponse()
    assert _inventory(address).status == 200
    assert fleet.get_link_counts(address)["silenced"] == 1


def test_answer_is_cut_after_execution(
    fleet: processes.Fleet, address: str, ledger: processes.Process
) -> None:
    fleet.set_faults(address, cut_answers=1, cut_answers_to="POST")
    assert _inventory(address).status == 200
    with pytest.raises(OSError):
        processes.request(
            address, "POST", "/w", {}, {"Idempotency-Key": "cut-1"}
        )
    assert _inventory(address).status == 200
    executions = processes.request(
        ledger.address, "GET", "/standin/executions"
    ).json()
    assert executions["cut-1"] == 1


def test_cut_closes_open_connections(
    fleet: processes.Fleet, address: str
) -> None:
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("GET", "/inventory")
    assert connection.getresponse().read()
    fleet.cut_connections(address)
    with pytest.raises((http.client.HTTPException, OSError)):
        connection.request("GET", "/inventory")
        connection.getresponse()


def test_answer_is_cut_after_bytes(
    fleet: processes.Fleet, address: str
) -> None:
    fleet.set_faults(address, cut_after_bytes=10)
    with pytest.raises(OSError):
        _inventory(address)


@pytest.mark.parametrize("faults", [{"refuse": True}, {"drop": 1.0}])
def test_new_connections_fail(
    fleet: processes.Fleet, address: str, faults: dict[str, object]
) -> None:
    fleet.set_faults(address, **faults)
    with pytest.raises(OSError):
        _inventory(address, seconds=0.3)


def test_blocks_only_named_sources(
    fleet: processes.Fleet, address: str, ledger: processes.Process
) -> None:
    fleet.register_source("other", ledger)
    fleet.set_faults(address, blocked_sources=["other"])
    assert _inventory(address).status == 200
    own = {"own": os.getpid()}
    processes.request(fleet.proxy_control_address, "PUT", "/sources", own)
    fleet.set_faults(address, blocked_sources=["own"])
    with pytest.raises(OSError):
        _inventory(address, seconds=0.3)


def test_unknown_port_has_no_source() -> None:
    assert proxy.find_source(1, 2, {"own": os.getpid()}) == ""


def test_paused_process_can_be_killed(fleet: processes.Fleet) -> None:
    paused = fleet.start_standin("ledger")
    paused.pause()
    paused.kill()
    assert paused.popen.returncode is not None


def _inventory(address: str, seconds: float = 10.0) -> processes.Answer:
    return processes.request(address, "GET", "/inventory", seconds=seconds)


# A daemon of a scenario failed to start because an outgoing connection had
# taken the port that was chosen for it.
def test_free_address_has_no_port_of_outgoing_connections() -> None:
    path = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
    first = int(path.read_text().split()[0]) if path.exists() else 32768
    for _ in range(50):
        port = int(processes.free_address().rpartition(":")[2])
        assert 1024 < port < first
