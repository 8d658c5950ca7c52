"""Run a router: take calls, decide, dispatch and relay.

The router needs no controller.  It goes on with the last state that it has
seen while the object API is down.
"""

from typing import Final

import curio

from sycamoredale.admission import admission
from sycamoredale import clock
from sycamoredale.config import store as config_store
from sycamoredale.daemons import callers
from sycamoredale.daemons import followers
from sycamoredale.daemons import options
from sycamoredale.daemons import stopping
from sycamoredale.engines import reports
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.membership import relay
from sycamoredale.membership import service as peer_service
from sycamoredale.membership import view
from sycamoredale.observability import logs
from sycamoredale.platform import objects
from sycamoredale.requests import dispatch
from sycamoredale.routing import choice
from sycamoredale.routing import cold_keeper
from sycamoredale.routing import cold_start
from sycamoredale.routing import health
from sycamoredale.routing import table
from sycamoredale.routing import warmth_store

LOG: Final = logs.get("router")


class Router:
    """Join the parts of a router."""

    def __init__(self, settings: options.RouterOptions) -> None:
        """Build the parts; nothing listens until `run`."""
        common = settings.common
        self._settings = settings
        self._pool = client.Pool()
        self._store = objects.ObjectStore(common.platform, self._pool)
        self._table = table.RoutingTable()
        self._configuration = followers.ConfigurationFollower(
            self._store, self._on_accepted
        )
        self._assignments = followers.AssignmentFollower(
            self._store, self._table
        )
        self._relay = relay.Relay(common.daemon)
        endpoint_health = health.Health(self._relay)
        self._relay.subscribe(
            relay.Topic.ENDPOINT,
            lambda notice: endpoint_health.hear(notice, clock.monotonic()),
        )
        cold = cold_start.ColdStart(self._table)
        self._warmth = warmth_store.WarmthStore(
            cold, self._store, self._relay, common.zone
        )
        self._cold_keeper = cold_keeper.ColdKeeper(
            cold,
            self._store,
            reports.EngineReports(self._pool),
            self._warmth,
            lambda: self._configuration.accepted.configuration,
            common.daemon,
            common.zone,
        )
        chooser = choice.Chooser(
            self._table, common.zone, endpoint_health, cold
        )
        callers_service = callers.CallerService(
            configuration=lambda: self._configuration.accepted.configuration,
            health=self._health,
            admission=admission.Admission(chooser),
            dispatcher=dispatch.Dispatcher(chooser, client.Pool()),
        )
        self._server = server.Server(callers_service.handle)

    async def run(self) -> None:
        """Serve until a stop signal, then drain."""
        stop = stopping.StopSignal()
        await self._start_peer_service()
        await curio.spawn(self._configuration.run, daemon=True)
        await curio.spawn(self._assignments.run, daemon=True)
        await curio.spawn(self._warmth.run, daemon=True)
        await curio.spawn(self._cold_keeper.run, daemon=True)
        bound = self._server.bind(self._settings.listen)
        await self._server.start()
        LOG.info("router_listening", address=str(bound))
        await stop.wait()
        complete = await self._server.drain(self._settings.drain_seconds)
        LOG.info("router_stopped", complete=complete)

    async def _start_peer_service(self) -> None:
        common = self._settings.common
        members = view.MembershipView(
            view.Peer(
                common.daemon,
                str(self._settings.peer_listen),
                common.zone,
                view.Role.ROUTER,
                ids.Incarnation(0),
            )
        )
        peers = peer_service.PeerService(members, self._pool)
        peer_server = server.Server(peers.handle)
        bound = peer_server.bind(self._settings.peer_listen)
        await peer_server.start()
        LOG.info("peer_service_listening", address=str(bound))

    def _on_accepted(self, accepted: config_store.Accepted) -> None:
        self._table.apply_configuration(accepted.configuration)

    def _health(self) -> messages.Response:
        body = {
            "daemon": self._settings.common.daemon,
            "generation": self._configuration.accepted.generation,
            "endpoints": len(self._table.by_id),
        }
        return messages.json_response(200, body)


def run(settings: options.RouterOptions) -> None:
    """Run a router until it is told to stop."""
    logs.configure(settings.common.log_level, daemon=settings.common.daemon)
    curio.run(Router(settings).run)
