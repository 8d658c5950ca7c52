"""Test that reads of the store end within their limits."""

import curio
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale.object_api import objects
from sycamoredale.platform import store as store_module

ADDRESS = messages.Address("127.0.0.1", 1)


class _SlowPool:
    """Connect late, and answer later still."""

    async def call(self, address, request, timeout, new, connect_timeout):
        await curio.sleep(connect_timeout)
        await curio.sleep(timeout)


# Guards against a call that takes the time for connecting besides that for
# the answer.
@pytest.mark.parametrize(
    "kind", [objects.ObjectStore, store_module.PlatformStore]
)
def test_read_ends_in_time_though_connecting_is_slow(kind):
    store = kind(ADDRESS, _SlowPool())
    limits = objects.CallLimits(answer_seconds=0.2)
    began = clock.monotonic()
    with pytest.raises(errors.StoreUnavailable):
        curio.run(store.list, "servers", limits)
    assert clock.monotonic() - began < 0.28


def test_answers_of_the_store_are_told():
    class Pool:
        statuses = [200, 503]

        async def call(self, *args):
            body = b'{"version": 1, "objects": []}'
            headers = messages.Headers()
            return messages.Response(self.statuses.pop(0), headers, body)

    told = []
    store = objects.ObjectStore(
        ADDRESS, Pool(), on_answer=lambda: told.append(1)
    )
    curio.run(store.list, "servers")
    with pytest.raises(errors.StoreUnavailable):
        curio.run(store.list, "servers")
    assert told == [1]
