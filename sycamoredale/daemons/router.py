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
from sycamoredale.daemons import fleet
from sycamoredale.daemons import followers
from sycamoredale.daemons import options
from sycamoredale.daemons import stopping
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.membership import freshness
from sycamoredale.membership import view
from sycamoredale.observability import logs
from sycamoredale.platform import budget
from sycamoredale.requests import dispatch
from sycamoredale.routing import choice
from sycamoredale.routing import table

LOG: Final = logs.get("router")


class Router:
    """Join the parts of a router."""

    def __init__(self, settings: options.RouterOptions) -> None:
        """Build the parts; nothing listens until `run`."""
        common = settings.common
        self._settings = settings
        joined = fleet.join(common, view.Role.ROUTER)
        following = joined.store.with_priority(budget.Priority.FOLLOW)
        self._node = joined.node
        self._store = joined.store
        self._table = table.RoutingTable()
        self._configuration = followers.ConfigurationFollower(
            following, self._node, self._on_accepted
        )
        self._assignments = followers.AssignmentFollower(
            following, self._node, self._table
        )
        chooser = choice.Chooser(self._table, common.zone)
        callers_service = callers.CallerService(
            configuration=lambda: self._configuration.accepted.configuration,
            health=self._health,
            admission=admission.Admission(),
            dispatcher=dispatch.Dispatcher(chooser, client.Pool()),
            standing=self._node.standing,
        )
        self._server = server.Server(callers_service.handle)

    async def run(self) -> None:
        """Serve until a stop signal, then drain."""
        stop = stopping.StopSignal()
        await self._node.start()
        await curio.spawn(self._configuration.run, daemon=True)
        await curio.spawn(self._assignments.run, daemon=True)
        bound = self._server.bind(self._settings.listen)
        await self._server.start()
        LOG.info("router_listening", address=str(bound))
        await stop.wait()
        await curio.spawn(self._node.stop, daemon=True)
        complete = await self._server.drain(self._settings.drain_seconds)
        LOG.info("router_stopped", complete=complete)

    def _on_accepted(self, accepted: config_store.Accepted) -> None:
        self._table.apply_configuration(accepted.configuration)

    def _health(self) -> messages.Response:
        standing = self._node.standing(clock.monotonic())
        body = {
            "daemon": self._settings.common.daemon,
            "generation": self._configuration.accepted.generation,
            "endpoints": len(self._table.by_id),
            "peers": self._node.live_daemons(),
            "standing": standing.value,
        }
        isolated = standing is freshness.Standing.ISOLATED
        return messages.json_response(503 if isolated else 200, body)


def run(settings: options.RouterOptions) -> None:
    """Run a router until it is told to stop."""
    logs.configure(settings.common.log_level, daemon=settings.common.daemon)
    curio.run(Router(settings).run)
