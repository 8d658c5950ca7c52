"""Run one daemon on the users' platform.

Routing and the upkeep of groups are tasks of the same process: a second
process on each machine would cost its memory, and the upkeep sleeps on all
machines but the one that holds the lease.
"""

import sys
from typing import Final

import curio

from sycamoredale.daemons import stopping
from sycamoredale.forwarding import choosing
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import following
from sycamoredale.forwarding import forwarder
from sycamoredale.forwarding import listing
from sycamoredale.forwarding import route_table
from sycamoredale.forwarding import send_budget
from sycamoredale.forwarding import service
from sycamoredale.groups import group_upkeep
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import leases
from sycamoredale.observability import logs
from sycamoredale.platform import feeds
from sycamoredale.platform import orders
from sycamoredale.platform import settings as settings_module
from sycamoredale.platform import store as store_module
from sycamoredale.platform import wire

# The balancer asks once a second and leaves after two misses.
DRAIN_LISTEN_SECONDS: Final = 3.0
# Kept for the exit itself, from the time until the process is killed.
EXIT_SECONDS: Final = 0.5
LOG: Final = logs.get("daemon")


class PlatformDaemon:
    """Join the parts of a daemon."""

    def __init__(self, settings: settings_module.ProcessSettings) -> None:
        """Build the parts; nothing listens until `run`."""
        self._settings = settings
        self._store = store_module.PlatformStore(settings.store, client.Pool())
        self._book = listing.InstanceBook()
        self._routes = route_table.RouteTable()
        self._evacuations = feeds.EvacuationFeed(self._rebuild)
        self._endpoints = endpoints.EndpointBook(
            self._book,
            lambda: self._routes.current.service_by_name,
            lambda: self._evacuations.zones_out,
        )
        self._upkeep = self._build_upkeep()
        self._server = server.Server(
            self._build_service().handle, serves_while_draining=True
        )
        self._readiness = server.Server(
            self._answer_readiness, serves_while_draining=True
        )
        self._stopping = False

    async def run(self) -> None:
        """Serve until a stop signal, then drain."""
        stop = stopping.StopSignal()
        for follower in self._followers():
            await curio.spawn(follower.run, daemon=True)
        self._readiness.bind(self._settings.readiness)
        await self._readiness.start()
        self._server.bind(self._settings.callers)
        await self._server.start()
        await curio.spawn(self._upkeep.run, daemon=True)
        LOG.info("started", address=str(self._settings.callers))
        await stop.wait()
        await self._drain()

    async def _drain(self) -> None:
        self._stopping = True
        LOG.info("stopping")
        await curio.spawn(self._upkeep.stop, daemon=True)
        complete = await self._server.drain(
            self._settings.bounds.grace - EXIT_SECONDS, DRAIN_LISTEN_SECONDS
        )
        LOG.info("stopped", complete=complete)

    def _followers(self) -> list[following.Follower]:
        manifests = feeds.ManifestFeed(self._routes, self._on_manifest)
        instances = feeds.InstanceFeed(self._book)
        taking: list[tuple[str, following.Take]] = [
            (feeds.MANIFEST, manifests.take),
            (feeds.INSTANCES, instances.take),
            (feeds.EVACUATIONS, self._evacuations.take),
        ]
        return [
            following.Follower(self._store, kind, take)
            for kind, take in taking
        ]

    def _build_upkeep(self) -> group_upkeep.GroupUpkeep:
        lease = leases.Lease(
            self._store,
            group_upkeep.LEASE_NAME,
            self._settings.daemon,
            lease_seconds=group_upkeep.LEASE_SECONDS,
        )
        return group_upkeep.GroupUpkeep(
            lease,
            orders.PlatformEngines(client.Pool()),
            self._book,
            lambda: self._routes.current,
            lambda: self._evacuations.zones_out,
            self._settings.bounds.stall,
        )

    def _build_service(self) -> service.CallService:
        bounds = self._settings.bounds
        chooser = choosing.Chooser(
            self._endpoints,
            self._book,
            self._settings.zone,
            choosing.ColdBounds(bounds.cold_factor, bounds.cold_burst),
            self._count_daemons,
        )
        budget = send_budget.SendBudget(
            bounds.retry_ratio,
            bounds.retry_burst,
            bounds.retry_window,
            self._count_daemons,
        )
        return service.CallService(
            wire.read_envelope,
            self._routes,
            forwarder.Forwarder(wire, chooser, budget, client.Pool()),
        )

    def _count_daemons(self) -> int:
        return 9

    async def _answer_readiness(self, exchange: server.Exchange) -> None:
        ready = not self._stopping and self._routes.current.version > 0
        await exchange.respond(messages.Response(200 if ready else 503))

    def _on_manifest(self) -> None:
        limits = self._routes.current.limits
        if limits is not None:
            self._server.set_limits(
                server.Limits(
                    limits.header_bytes,
                    limits.body_bytes,
                    limits.header_seconds,
                    limits.idle_seconds,
                    self._settings.file_descriptors // 2,
                )
            )
        self._rebuild()

    def _rebuild(self) -> None:
        self._endpoints.rebuild()


def run() -> None:
    """Run a daemon until it is told to stop; raise Refusal."""
    settings = settings_module.read(settings_module.path().read_text())
    logs.configure("info", sys.stdout, daemon=settings.daemon)
    curio.run(PlatformDaemon(settings).run)
