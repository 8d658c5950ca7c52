"""Run a router: take calls, decide, dispatch and relay.

The router needs no controller.  It follows the configuration and the
assignments in the object API and goes on with the last state that it has
seen while the object API is down.
"""

from typing import Final

import curio
import msgspec

from sycamoredale.admission import organisations
from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.config import store as config_store
from sycamoredale.daemons import options
from sycamoredale.daemons import stopping
from sycamoredale import errors
from sycamoredale.groups import model as groups_model
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.observability import logs
from sycamoredale.platform import objects
from sycamoredale.requests import call as call_module
from sycamoredale.requests import dispatch
from sycamoredale.routing import table

WATCH_SECONDS: Final = 10.0
RETRY_SECONDS: Final = 0.5
LOG: Final = logs.get("router")


class Router:
    """Join the parts of a router."""

    def __init__(self, settings: options.RouterOptions) -> None:
        """Build the parts; nothing runs until `run`."""
        self._settings = settings
        self._pool = client.Pool()
        self._store = objects.ObjectStore(settings.common.platform, self._pool)
        self._accepted = config_store.NOTHING_ACCEPTED
        self._table = table.RoutingTable()
        self._dispatcher = dispatch.Dispatcher(
            self._table, client.Pool(), settings.common.zone
        )
        self._server = server.Server(self.handle)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        stop = stopping.StopSignal()
        bound = self._server.bind(self._settings.listen)
        await curio.spawn(self._follow_configuration, daemon=True)
        await curio.spawn(self._follow_assignments, daemon=True)
        await self._server.start()
        LOG.info("router_listening", address=str(bound))
        await stop.wait()
        complete = await self._server.drain(self._settings.drain_seconds)
        LOG.info("router_stopped", complete=complete)

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer one request of a caller."""
        if exchange.request.path == "/healthz":
            await exchange.respond(self._health())
            return
        started = clock.monotonic()
        configuration = self._accepted.configuration
        organisation = organisations.authenticate(
            configuration.organisations,
            exchange.request.headers.get("Authorization"),
        )
        call = call_module.read(exchange.request, organisation, configuration)
        await self._dispatcher.run(call, exchange)
        LOG.debug(
            "request_answered",
            request=call.id,
            seconds=clock.monotonic() - started,
        )

    def _health(self) -> messages.Response:
        body = {
            "daemon": self._settings.common.daemon,
            "generation": self._accepted.generation,
            "endpoints": len(self._table.by_id),
        }
        return messages.json_response(200, body)

    async def _follow_configuration(self) -> None:
        version = objects.ABSENT
        while True:
            try:
                accepted = await config_store.read(self._store)
                self._adopt(accepted)
                version = max(version, accepted.version)
                listing = await self._store.watch(
                    config_model.KIND, version, WATCH_SECONDS
                )
                version = max(version, listing.version)
            except errors.StoreUnavailable as error:
                LOG.warning("store_unavailable", reason=error.message)
                await curio.sleep(RETRY_SECONDS)

    def _adopt(self, accepted: config_store.Accepted) -> None:
        if accepted.generation <= self._accepted.generation:
            return
        self._accepted = accepted
        self._table.apply_configuration(accepted.configuration)
        LOG.info("configuration_in_force", generation=accepted.generation)

    async def _follow_assignments(self) -> None:
        version = ids.ObjectVersion(0)
        while True:
            try:
                if version == objects.ABSENT:
                    listing = await self._store.list(
                        groups_model.ASSIGNMENT_KIND
                    )
                else:
                    listing = await self._store.watch(
                        groups_model.ASSIGNMENT_KIND, version, WATCH_SECONDS
                    )
                version = max(version, listing.version)
                self._apply_assignments(listing)
            except errors.StoreUnavailable as error:
                LOG.warning("store_unavailable", reason=error.message)
                await curio.sleep(RETRY_SECONDS)

    def _apply_assignments(self, listing: objects.Listing) -> None:
        for stored in listing.objects:
            assignment = msgspec.json.decode(
                stored.value, type=groups_model.Assignment
            )
            self._table.apply_assignment(assignment)


def run(settings: options.RouterOptions) -> None:
    """Run a router until it is told to stop."""
    logs.configure(settings.common.log_level, daemon=settings.common.daemon)
    curio.run(Router(settings).run)
