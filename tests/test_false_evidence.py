"""Test that lost links are not taken for endpoints that crash."""

import curio

from sycamoredale import clock
from sycamoredale import ids
from tests import link_fixtures
from tests import test_crashing_prompt_parts
from tests import test_forwarder

DAEMONS = 4
ENDPOINTS = 5
CUTS = 3
CUT_SECONDS = 1.0
CALL_INTERVAL_SECONDS = 0.1
CALLS = int((2 * CUTS + 1) * CUT_SECONDS / CALL_INTERVAL_SECONDS)
EXCHANGE_SECONDS = 0.1
SHARED = ids.PromptPartId("a1")
POPULAR = ids.PromptPartId("b2")


class SlowEndpoint(test_forwarder.Endpoint):
    """Have requests in flight most of the time."""

    event_seconds = 0.1


class Site(test_crashing_prompt_parts.Site):
    """Run the forwarder of one daemon of a fleet."""

    def __init__(self, name, servers):
        super().__init__(*servers)
        self.daemon = link_fixtures.Daemon(
            name,
            servers,
            connector=link_fixtures.connector(
                self.endpoint_table,
                link_fixtures.members(name),
                link_fixtures.BreakingConnector,
            ),
        )
        self.forwarder.connector = self.daemon.connector
        self.forwarder.__post_init__()
        self.quarantine = self.forwarder.parts.quarantine
        self.refused = 0

    async def call_repeatedly(self):
        """Send calls that share their parts, and wait for their ends."""
        async with curio.TaskGroup() as group:
            for _ in range(CALLS):
                await group.spawn(self._call)
                await curio.sleep(CALL_INTERVAL_SECONDS)

    async def _call(self):
        _, refusal = await self.send(SHARED, POPULAR)
        code = refusal and refusal.code.name
        self.refused += code == "prompt_part_crashes_endpoints"


async def _exchange(sites):
    while True:
        now = clock.monotonic()
        for sender in sites:
            updates = sender.quarantine.take_updates(now)
            for receiver in sites:
                if receiver is not sender:
                    receiver.quarantine.receive_updates(updates, now)
        await curio.sleep(EXCHANGE_SECONDS)


# Guards against a quarantine of sound parts by daemons whose links fail: they
# counted each connection that broke as a crash, and told their peers.
def test_daemons_whose_links_fail_in_series_count_no_crashes():
    servers = [SlowEndpoint(f"i{n}") for n in range(ENDPOINTS)]
    sites = [Site(f"d{n}", servers) for n in range(DAEMONS)]

    async def main():
        for server in servers:
            await server.server.start()
        for site in sites:
            await site.daemon.start()
        for site in sites:
            for other in sites:
                if other is not site:
                    site.daemon.know(other.daemon)
            await curio.spawn(site.daemon.connector.run, daemon=True)
        calling = [await curio.spawn(s.call_repeatedly) for s in sites]
        await curio.spawn(_exchange, sites, daemon=True)
        for _ in range(CUTS):
            await curio.sleep(CUT_SECONDS)
            for site in sites[: DAEMONS - 1]:
                site.daemon.connector.cut_links()
            await curio.sleep(CUT_SECONDS)
            for site in sites:
                site.daemon.connector.cut = False
        for task in calling:
            await task.join()

    curio.run(main)
    for site in sites:
        assert not site.refused
        losses = [
            evidence.loss_by_incarnation
            for evidence in site.quarantine.evidence_by_part.values()
        ]
        assert not any(losses)


# Guards against a crashing part that goes unnoticed behind lost links.
def test_crash_behind_a_relay_is_counted():
    kind = test_crashing_prompt_parts.CrashingEndpoint
    crashing = test_crashing_prompt_parts.CRASHING
    servers = [kind(f"i{n}") for n in range(ENDPOINTS)]
    site = Site("own", servers)
    peer = link_fixtures.Daemon("peer", servers)

    async def main():
        for server in servers:
            await server.server.start()
        await peer.start()
        peer.know(site.daemon)
        site.daemon.know(peer)
        site.daemon.isolate()
        site.daemon.connector.cut_links()
        await site.send(SHARED, crashing)

    curio.run(main)
    losses = [
        len(evidence.loss_by_incarnation)
        for evidence in site.quarantine.evidence_by_part.values()
    ]
    assert losses and all(losses)
