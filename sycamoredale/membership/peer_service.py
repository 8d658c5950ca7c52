"""Send requests to peers and answer theirs.

Each part of a daemon registers a handler for each path that it serves.
Bodies are JSON in both directions.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.membership import view

PeerHandler = collections.abc.Callable[
    [bytes], collections.abc.Awaitable[bytes]
]


ExchangeHandler = collections.abc.Callable[
    [server.Exchange], collections.abc.Awaitable[None]
]


@dataclasses.dataclass
class PeerService:
    """Call peers and dispatch their requests, as JSON over HTTP."""

    members: view.MembershipView
    pool: client.Pool
    upgrade_handlers_by_path: dict[str, ExchangeHandler] = dataclasses.field(
        default_factory=dict
    )
    handlers_by_path: dict[str, PeerHandler] = dataclasses.field(
        default_factory=dict
    )

    def register(self, path: str, handler: PeerHandler) -> None:
        """Register the handler of a path; it maps a body to an answer."""
        self.handlers_by_path[path] = handler

    def register_upgrade(self, path: str, handler: ExchangeHandler) -> None:
        """Register the handler of a path that switches the protocol."""
        self.upgrade_handlers_by_path[path] = handler

    async def call(
        self,
        peer: ids.DaemonId,
        path: str,
        body: bytes,
        timeout_seconds: float,
    ) -> bytes:
        """Return the answer of a peer.

        Raises ConnectionFailed, also if the peer is not a member, and
        ConnectionBroken.
        """
        member = self.members.by_id.get(peer)
        if member is None:
            raise errors.ConnectionFailed(
                error_codes.CONNECTION_FAILED,
                f"daemon {peer!r} is not a known member of the fleet",
            )
        return await self.call_address(
            member.address, path, body, timeout_seconds
        )

    async def call_address(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout_seconds: float,
        new_connection: bool = False,
    ) -> bytes:
        """Return the answer of the daemon at `host:port`.

        Raises the errors of `call`.  `new_connection` avoids connections of
        the pool.
        """
        request = messages.Request("POST", path, _NO_HEADERS, body)
        destination = messages.parse_address(address)
        response = await self.pool.call(
            destination, request, timeout_seconds, new_connection
        )
        if response.status != 200:
            raise errors.ConnectionBroken(
                error_codes.CONNECTION_BROKEN,
                f"the daemon at {address} answered status "
                f"{response.status} to {path}",
                error_codes.Execution.UNKNOWN,
            )
        return response.body

    async def handle(self, exchange: server.Exchange) -> None:
        """Dispatch one request of a peer; raise Refusal for other paths."""
        path = exchange.request.path
        upgrade_handler = self.upgrade_handlers_by_path.get(path)
        if upgrade_handler is not None:
            await upgrade_handler(exchange)
            return
        handler = self.handlers_by_path.get(path)
        if handler is None:
            raise errors.Refusal(
                error_codes.NOT_FOUND,
                f"peer service has no path {path!r}",
            )
        body = await handler(exchange.request.body)
        await exchange.respond(messages.Response(200, _NO_HEADERS, body))


# Every body is JSON, so that Content-Type is omitted to save bytes.
_NO_HEADERS: Final = messages.Headers()
