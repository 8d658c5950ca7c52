"""Test that endpoints get no more requests than the limit they announce."""

import curio

from sycamoredale import errors
from sycamoredale.forwarding import progress as progress_module
from tests import test_forwarder

LIMIT_PER_SECOND = 2.0
WINDOW_SECONDS = 4.0
# The users' rule: one and a half times what the limit allows, and five.
ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
REQUESTS = 60


class LimitedEndpoint(test_forwarder.Endpoint):
    """Name a limit in each answer while it is set."""

    limit = None

    async def _handle(self, exchange):
        exchange = _WithHeader(exchange, "Server-Limit", self.limit)
        await super()._handle(exchange)


class _WithHeader:
    """Add a header to the answers of an exchange."""

    def __init__(self, exchange, name, value):
        self._exchange = exchange
        self._field = (name, f"{value:g}") if value else None

    def __getattr__(self, name):
        return getattr(self._exchange, name)

    async def start(self, head):
        if self._field:
            headers = head.headers.with_field(*self._field)
            head = type(head)(head.status, headers)
        await self._exchange.start(head)


async def _send(site):
    caller = test_forwarder.Caller()
    try:
        await site.forwarder.run(progress_module.begin(site.call()), caller)
    except errors.Refusal as refusal:
        return caller, refusal
    return caller, None


async def _start(site):
    for item in site.servers:
        await item.server.start()


# Guards against endpoints that get many times the rate that they name.
def test_endpoint_gets_no_more_requests_than_its_limit_allows():
    limited, other = LimitedEndpoint("i0"), LimitedEndpoint("i1")
    limited.limit = LIMIT_PER_SECOND
    site = test_forwarder.Site(limited, other)

    async def main():
        await _start(site)
        for _ in range(REQUESTS):
            caller, refusal = await _send(site)
            assert refusal is None
            assert caller.finished

    curio.run(main)
    assert 0 < len(limited.requests) <= ALLOWED_IN_WINDOW
