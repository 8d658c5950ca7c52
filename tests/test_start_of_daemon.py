"""Test requests that reach a daemon before it has read its lists.

Pattern: all machines lose power and return together; callers are there at
once, some milliseconds before the manifest and the list of instances.
"""

import os
import signal
import subprocess
import sys
import time

import curio
import pytest

from sycamoredale import clock
from sycamoredale.daemons import entry
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import retry_budget
from sycamoredale.forwarding import service as service_module
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.platform import settings as settings_module
from tests import test_forwarder


class _Exchange(test_forwarder.Caller):
    request = messages.Request("POST", "/a/x")
    request_id = ""


class _Service(service_module.CallService):
    """Refuse calls until it is ready, as without a manifest."""

    def __init__(self, site, ready_at):
        super().__init__(
            lambda request: None,
            None,
            site.forwarder,
            is_ready=lambda: clock.monotonic() >= ready_at,
        )
        self.site = site

    def _build_call(self, envelope, request, now):
        if not self.is_ready():
            raise errors.Refusal(error_codes.NOT_READY, "not ready")
        return self.site.call()

    def _record_end(self, *args):
        pass

    def _log_refused(self, *args):
        pass


def _call(ready_after):
    """Return what the caller of a daemon received that is ready so late."""
    endpoint = test_forwarder.Endpoint("i0")
    site = test_forwarder.Site(endpoint)
    exchange = _Exchange()

    async def main():
        await endpoint.server.start()
        service = _Service(site, clock.monotonic() + ready_after)
        await service.handle(exchange)

    curio.run(main)
    return exchange


@pytest.mark.parametrize("ready_after", [-1.0, 0.05, 0.3])
def test_call_waits_for_the_lists_of_a_daemon_that_has_just_started(
    ready_after,
):
    exchange = _call(ready_after)
    assert exchange.status == 200
    assert exchange.body == test_forwarder.COMPLETE


def test_call_is_refused_if_the_lists_stay_unknown(monkeypatch):
    monkeypatch.setattr(service_module, "READY_WAIT_SECONDS", 0.1)
    exchange = _call(30.0)
    assert exchange.status == 503
    assert b'"execution":"not_run"' in exchange.body


# Pattern: all of 195 daemons are killed; each assumes a number of daemons
# until it has listed the registry, and uses its share of each limit.
def test_daemons_of_the_largest_fleet_keep_limits_before_they_know_it():
    largest_fleet = 380
    budget = retry_budget.RetryBudget(
        0.2,
        496.0,
        10.0,
        lambda: entry.MIN_ASSUMED_DAEMONS,
        clock.MonotonicTime(0.0),
    )
    usage = budget.usage(ids.ServiceName("llm"), clock.MonotonicTime(60.0))
    assert largest_fleet * usage.allowed <= 496.0


# Guards against a daemon that SIGHUP ends while it starts: the default action
# held until the handler was installed, after all imports.
def test_reload_signal_during_the_start_does_not_end_the_daemon(tmp_path):
    path = tmp_path / "settings"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "sycamoredale.platform"],
        env=os.environ | {settings_module.PATH_VARIABLE: str(path)},
        stderr=subprocess.PIPE,
    )
    try:
        # Opens once the daemon opens the other end to read its settings.
        with path.open("w") as settings:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.2)
            settings.write("nonsense")
        _, errors_text = process.communicate(timeout=20)
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 1
    assert b"InvalidSettings" in errors_text
