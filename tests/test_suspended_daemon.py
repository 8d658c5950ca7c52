"""Test that a daemon does not blame others for its own delays."""

import json
import os
import signal
import subprocess
import sys
import threading
import time

import curio
import pytest

from tests import test_forwarder


class Endpoint(test_forwarder.Endpoint):
    """Stream for half a second."""

    event_seconds = 0.1


def _serve(servers, ready, ended):
    async def main():
        for item in servers:
            await item.server.start()
        ready.set()
        while not ended.is_set():
            await curio.sleep(0.02)

    curio.run(main)


@pytest.fixture
def endpoints():
    """Serve two endpoints in a thread."""
    servers = [Endpoint("i0"), Endpoint("i1")]
    ready, ended = threading.Event(), threading.Event()
    thread = threading.Thread(target=_serve, args=(servers, ready, ended))
    thread.start()
    assert ready.wait(10)
    yield servers
    ended.set()
    thread.join()


def _forward_suspended(endpoints, seconds):
    """Return what a process found that was suspended during a stream."""
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "tests.suspended_forwarder",
            *(str(item.address) for item in endpoints),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        lines = iter(process.stdout.readline, "")
        assert next(line for line in lines if line == "begun\n")
        time.sleep(0.15)
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(seconds)
        os.kill(process.pid, signal.SIGCONT)
        return json.loads(next(line for line in lines if line[0] == "{"))
    finally:
        process.kill()
        process.communicate()


# Guards against LOST: a daemon that was suspended left endpoints whose events
# waited in its sockets.
@pytest.mark.parametrize("seconds", [0.6, 0.8, 1.4, 2.0])
def test_suspended_daemon_does_not_leave_its_endpoint(endpoints, seconds):
    found = _forward_suspended(endpoints, seconds)
    assert found["body"].encode() == test_forwarder.COMPLETE
    assert found["finished"]
    assert len(found["sends"]) == 1
    assert not endpoints[1].requests


# Guards against LOST and BUDGET: a daemon that was suspended blamed endpoints
# for its own silence, told its peers so and used its retry budget up.
@pytest.mark.parametrize("seconds", [0.8, 2.0])
def test_suspended_daemon_blames_no_endpoint(endpoints, seconds):
    found = _forward_suspended(endpoints, seconds)
    assert found["suspected"] == []
    assert found["retries"] == 0
