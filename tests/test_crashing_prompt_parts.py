"""Test that requests with a part that crashes endpoints are stopped."""

import dataclasses

import curio
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.requests import part_evidence
from sycamoredale.requests import poison
from tests import instance_fixtures
from tests import test_forwarder

ENDPOINTS = 12
CRASHES_UNTIL_STOPPED = 5
SENDS_AFTERWARDS = 3
SHARED = ids.PromptPartId("a1")
CRASHING = ids.PromptPartId("bad")


class CrashingEndpoint(test_forwarder.Endpoint):
    """Crash at the first event of each request with the crashing part."""

    async def _handle(self, exchange):
        text = exchange.request.headers.get("Prompt-Prefix") or ""
        self.fault = "crashes" if f"{CRASHING}:" in text else None
        await super()._handle(exchange)


class RestartingEndpoint(CrashingEndpoint):
    """Crash as well, and accept connections again at once."""

    async def _fail(self, exchange):
        raise ConnectionAbortedError(self.fault)


class Site(test_forwarder.Site):
    """Send requests of which no two are alike."""

    sent = 0

    def call(self, *parts):
        self.sent += 1
        call = super().call()
        name = f"r{self.sent}"
        entries = [*parts, f"own{self.sent}"]
        text = ",".join(f"{entry}:40" for entry in entries)
        fields = [("Attempt-Id", name), ("Prompt-Prefix", text)]
        request = messages.Request(
            "POST", "/a/x", messages.Headers(fields), name.encode()
        )
        envelope = dataclasses.replace(
            call.envelope, id=ids.RequestId(name), shared_parts=parts
        )
        return dataclasses.replace(
            call,
            envelope=envelope,
            request=request,
            fingerprint=poison.Fingerprint(name),
            part_keys=tuple(
                part_evidence.part_key(call.service.name, p) for p in parts
            ),
        )

    async def send(self, *parts):
        """Return the caller, and the refusal if there is one."""
        caller = test_forwarder.Caller()
        progress = progress_module.begin(self.call(*parts))
        try:
            await self.forwarder.run(progress, caller)
        except errors.Refusal as refusal:
            return caller, refusal
        return caller, None

    async def start(self):
        for item in self.servers:
            await item.server.start()

    @property
    def lost(self):
        return sum(
            any(
                f"{CRASHING}:" in (r.headers.get("Prompt-Prefix") or "")
                for r in server.requests
            )
            for server in self.servers
        )


# Guards against requests with a common part of their prompts, no two alike,
# that end one endpoint after the other.
def test_requests_with_a_part_that_crashes_endpoints_are_stopped():
    site = Site(*(CrashingEndpoint(f"i{n}") for n in range(ENDPOINTS)))

    async def main():
        await site.start()
        refusals = []
        for _ in range(ENDPOINTS):
            caller, _ = await site.send(SHARED)
            assert caller.finished
            _, refusal = await site.send(SHARED, CRASHING)
            refusals.append(refusal)
        return refusals

    refusals = curio.run(main)
    assert site.lost <= CRASHES_UNTIL_STOPPED + SENDS_AFTERWARDS
    last = refusals[-1]
    assert last.execution.value == "not_run"
    assert last.code.status == 503


# Guards against crashes that leave no trace: the endpoint that starts again at
# once accepts the connection by which a crash is looked for.
@pytest.mark.parametrize("starts_again", [True, False])
def test_crash_of_an_endpoint_that_starts_again_at_once_is_counted(
    starts_again,
):
    server = RestartingEndpoint("i0")
    site = Site(server)
    instances = site.forwarder.selector.instances

    async def main():
        await site.start()
        await site.send(SHARED, CRASHING)
        if starts_again:
            restarted = instance_fixtures.instance(
                "i1", address=server.address, started_ms=2000
            )
            instances.apply_listed(restarted, clock.monotonic())
            assert _count_losses(site) == []
            instances.record_replaced(instances.contested()[0])

    curio.run(main)
    assert _count_losses(site) == ([1, 1] if starts_again else [])


def test_crash_is_counted_if_the_report_of_a_later_instance_shows_it():
    server = RestartingEndpoint("i0")
    site = Site(server)
    instances = site.forwarder.selector.instances

    async def main():
        await site.start()
        await site.send(SHARED, CRASHING)
        restarted = instance_fixtures.instance(
            "i1", address=server.address, started_ms=2000
        )
        instances.apply_listed(restarted, clock.monotonic())
        report = instance_state.Report(2000, 0, None, ())
        instances.apply_report("i0", report)

    curio.run(main)
    assert _count_losses(site) == [1, 1]


# Guards against DENIED: an entry of another writer counted as the crash of the
# endpoint whose address it names.
def test_entry_that_the_address_refutes_counts_no_crash():
    server = RestartingEndpoint("i0")
    site = Site(server)
    instances = site.forwarder.selector.instances

    async def main():
        await site.start()
        await site.send(SHARED, CRASHING)
        odd = instance_fixtures.instance(
            "agent-7", service="agent", address=server.address, started_ms=2000
        )
        instances.apply_listed(odd, clock.monotonic())
        instances.record_answering(instances.contested()[0])

    curio.run(main)
    assert _count_losses(site) == []


def _count_losses(site):
    evidence = site.forwarder.parts.quarantine.evidence_by_part.values()
    return [len(e.loss_by_incarnation) for e in evidence]
