"""Test that a failure that an endpoint gave is passed on as it is."""

from tests import test_forwarder
from tests import test_local_failures


# Guards against an own refusal in place of the answer of an endpoint, when
# the daemon lacked a descriptor to try another one.
def test_failure_of_an_endpoint_is_passed_on_if_no_socket_is_left():
    failing = test_forwarder.Endpoint("a", fault="error")
    other = test_forwarder.Endpoint("b")
    site = test_forwarder.Site(failing, other)
    pool = site.forwarder._pool
    connect = pool.connect

    async def connect_to_first_only(address, timeout_seconds):
        if address == failing.address:
            return await connect(address, timeout_seconds)
        with test_local_failures.no_free_descriptor():
            return await connect(address, timeout_seconds)

    pool.connect = connect_to_first_only
    caller, refusal = site.run()
    assert refusal is None
    assert (caller.status, caller.body) == (500, b"failed")
    assert failing.requests and not other.requests
