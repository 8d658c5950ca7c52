"""Forward one stream in a process of its own, which a test may suspend.

The arguments are the addresses of the endpoints.  Prints a line with the first
event, and what the caller received in the end.
"""

import json
import sys

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.http import messages
from sycamoredale import loop_delays
from tests import test_forwarder


class RemoteEndpoint:
    """Name an endpoint of another process."""

    def __init__(self, name, address):
        self.name = name
        self.address = address


class Caller(test_forwarder.Caller):
    """Tell when the answer begins."""

    async def write(self, data):
        """Record a part of the answer."""
        await super().write(data)
        if data.startswith(b"id: 1\n"):
            print("begun", flush=True)


async def _forward(site, caller):
    progress = progress_module.begin(site.call())
    reason = ""
    try:
        await site.forwarder.run(progress, caller)
    except errors.Refusal as refusal:
        reason = refusal.message
    print(
        json.dumps(
            {
                "body": caller.body.decode(),
                "finished": caller.finished,
                "sends": progress.sends,
                "reason": reason,
                "retries": _retries(site),
                "suspected": _suspected(site),
            }
        ),
        flush=True,
    )


def _retries(site):
    now = clock.monotonic()
    service = site.call().service.name
    return site.forwarder.budget.usage(service, now).retries


def _suspected(site):
    """Return the endpoints that were blamed at some time."""
    return sorted(site.suspected)


def _record_suspicions(site):
    site.suspected = set()

    def recording(endpoint):
        suspect = endpoint.suspect

        def record(*arguments):
            site.suspected.add(endpoint.id)
            suspect(*arguments)

        return record

    for endpoint in site.endpoint_table.by_id.values():
        endpoint.suspect = recording(endpoint)


def main(addresses):
    """Forward a stream to the first of the endpoints."""
    servers = []
    for number, text in enumerate(addresses):
        host, _, port = text.partition(":")
        address = messages.Address(host, int(port))
        servers.append(RemoteEndpoint(f"i{number}", address))
    site = test_forwarder.Site(*servers)
    _record_suspicions(site)
    delays = loop_delays.LoopDelays()
    site.forwarder.delays = delays
    site.forwarder.__post_init__()
    curio.run(
        _forward,
        site,
        Caller(),
        selector=loop_delays.DelayRecordingSelector(delays),
    )


if __name__ == "__main__":
    main(sys.argv[1:])
