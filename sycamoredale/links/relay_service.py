"""Relay connections to endpoints for peers that have lost their links.

Only daemons that are members may ask, only for endpoints that this daemon
would use itself, and a relayed connection is never relayed again.
"""

import collections.abc
import dataclasses
import sys
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.links import connector as connector_module
from sycamoredale.links import relay_protocol
from sycamoredale.membership import view
from sycamoredale.observability import logs

# A request waits for its first event for a second or two.
IDLE_SECONDS: Final = 2.0
IDLE_CHECK_SECONDS: Final = 0.1
LOG: Final = logs.get("links.relay")


@dataclasses.dataclass
class RelayService:
    """Answer the relay requests of peers, up to `max_relays` at a time."""

    connector: connector_module.EndpointConnector
    members: view.MembershipView
    may_use: collections.abc.Callable[[messages.Address], bool]
    is_stopping: collections.abc.Callable[[], bool] = lambda: False
    max_relays: int = sys.maxsize
    open_count: int = 0
    _relays: set[relay_protocol.Relay] = dataclasses.field(default_factory=set)

    async def handle(self, exchange: server.Exchange) -> None:
        """Relay one connection, or say why not; raise Refusal if malformed."""
        request = exchange.request
        address = relay_protocol.parse_endpoint(
            request.headers.get(relay_protocol.ENDPOINT_HEADER)
        )
        status = self._refusal_status(exchange.remote_host, address)
        self.open_count += 1
        try:
            await self._answer(exchange, address, status)
        finally:
            self.open_count -= 1

    async def _answer(
        self,
        exchange: server.Exchange,
        address: messages.Address,
        status: int | None,
    ) -> None:
        sock: typing.Any = None
        began = clock.monotonic()
        if status is None:
            try:
                sock = await self.connector.open_socket(
                    address, connector_module.PROBE_TIMEOUT_SECONDS
                )
                status = relay_protocol.SWITCHING_STATUS
            except errors.LocalFailure:
                status = relay_protocol.NO_RELAY_STATUS
            except errors.ConnectionFailed:
                status = await self._failure_status(address, began)
        self.connector.monitor.metrics.count("relays", f"status_{status}")
        if sock is None:
            LOG.info("relay_refused", endpoint=str(address), status=status)
            await exchange.respond(messages.Response(status))
            return
        try:
            caller = await exchange.switch_protocol(relay_protocol.PROTOCOL)
            await self._relay(
                caller,
                sock,
                lambda: self.may_use(address) and not self.is_stopping(),
            )
        finally:
            await sock.close()

    async def wait_until_idle(self) -> None:
        """Return when no relay has carried anything for a while.

        The relays of kept connections stay open without carrying requests.
        """
        while self._is_busy(clock.monotonic()):
            await curio.sleep(IDLE_CHECK_SECONDS)

    def _is_busy(self, now: clock.MonotonicTime) -> bool:
        return any(now - r.moved_at < IDLE_SECONDS for r in self._relays)

    async def _relay(
        self,
        caller: typing.Any,
        sock: typing.Any,
        may_begin: collections.abc.Callable[[], bool],
    ) -> None:
        relay = relay_protocol.Relay(
            caller, sock, clock.monotonic(), may_begin
        )
        self._relays.add(relay)
        try:
            await relay.run()
        finally:
            self._relays.discard(relay)

    def _refusal_status(
        self, host: str, address: messages.Address
    ) -> int | None:
        hosts = {
            messages.parse_address(peer.address).host
            for peer in self.members.peers()
        }
        if host not in hosts:
            return relay_protocol.FORBIDDEN_STATUS
        if not self.may_use(address):
            return relay_protocol.FORBIDDEN_STATUS
        if self.is_stopping() or self.connector.doubts_links(
            clock.monotonic()
        ):
            return relay_protocol.NO_RELAY_STATUS
        if self.open_count >= self.max_relays:
            return relay_protocol.NO_RELAY_STATUS
        return None

    async def _failure_status(
        self, address: messages.Address, began: clock.MonotonicTime
    ) -> int:
        """Return what a failed connection shows of the endpoint."""
        if await self.connector.reaches_others(address, began):
            return relay_protocol.UNREACHABLE_STATUS
        return relay_protocol.NO_RELAY_STATUS
