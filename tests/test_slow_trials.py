"""Test that a slow store delays no answer to a request that needs a trial."""

import time

import curio
import pytest

from sycamoredale import errors
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.http import caller_disconnect
from tests import test_forwarder

STORE_SECONDS = 4.0
MAX_DELAY_SECONDS = 0.4


class LeavingCaller(test_forwarder.Caller):
    """Leave after a moment."""

    async def wait_for_disconnect(self):
        await curio.sleep(0.2)


def _run(caller, seconds):
    """Return how long a call took, and what it raised."""
    site = test_forwarder.Site(test_forwarder.Endpoint("b"), seconds=seconds)

    async def wait_for_store(parts, now):
        await curio.sleep(STORE_SECONDS)

    site.forwarder.parts.admit = wait_for_store

    async def main():
        with pytest.raises(Exception) as caught:
            await site.forwarder.run(
                progress_module.begin(site.call()), caller
            )
        return caught.value

    began = time.monotonic()
    error = curio.run(main)
    assert not site.servers[0].requests
    return time.monotonic() - began, error


# Guards against requests without an answer at their deadline: a request that
# might try a part of a prompt waited for the store without one.
def test_wait_for_a_trial_ends_at_the_deadline():
    seconds, error = _run(test_forwarder.Caller(), 0.5)
    assert isinstance(error, errors.Refusal)
    assert error.code.name == "deadline_exceeded"
    assert seconds < 0.5 + MAX_DELAY_SECONDS


# Guards against a caller whose leaving is noticed only after the wait.
def test_wait_for_a_trial_ends_when_the_caller_leaves():
    seconds, error = _run(LeavingCaller(), 8.0)
    assert isinstance(error, caller_disconnect.CallerDisconnected)
    assert seconds < 0.2 + MAX_DELAY_SECONDS
