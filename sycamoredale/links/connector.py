"""Open connections to endpoints, through a peer while this daemon is isolated.

A connection that fails is followed by a question to a peer.  An isolated
daemon probes its links until they work again.
"""

import collections.abc
import contextlib
import dataclasses
import random
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.links import monitor as monitor_module
from sycamoredale.links import relay_client

CONNECT_TIMEOUT_SECONDS: Final = 0.3
CHECK_INTERVAL_SECONDS: Final = 0.1
PROBE_INTERVAL_SECONDS: Final = 0.5
PROBES_AT_ONCE: Final = 5
PROBES_WHILE_ISOLATED: Final = 3
# A lost packet would be repeated after a second only.
PROBE_TIMEOUT_SECONDS: Final = 0.15
# With a few streams, events arrive every few milliseconds.
QUIET_SECONDS: Final = 0.25
# How long a connection opened since then is proof enough.
QUIET_CHECK_SECONDS: Final = 1.0
# How long nobody is asked again.  A lost instance is probed several times a
# second until it leaves the list.
ANSWER_TTL_SECONDS: Final = {
    relay_client.Reachability.REACHABLE: 0.0,
    relay_client.Reachability.UNREACHABLE: 1.0,
    relay_client.Reachability.UNKNOWN: 0.3,
}
# How long a daemon does not test its links again after it reached nobody.
LINK_TEST_PAUSE_SECONDS: Final = 0.3
LINK_TESTS: Final = 2
# A peer that reaches the endpoint answers in some milliseconds.
ANSWER_WAIT_SECONDS: Final = 0.05

Reachability = relay_client.Reachability
GetAddresses = collections.abc.Callable[
    [], collections.abc.Collection[messages.Address]
]
# Returns the endpoints that work for peers while requests of this daemon wait.
FindWaiting = collections.abc.Callable[
    [clock.MonotonicTime], collections.abc.Sequence[messages.Address]
]


@dataclasses.dataclass
class _Check:
    """Hold the answer of peers that several tasks wait for."""

    answer: relay_client.Answer = relay_client.NO_ANSWER
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    ended_at: clock.MonotonicTime | None = None

    def is_current(self, now: clock.MonotonicTime) -> bool:
        """Return whether the check runs, or its answer still holds."""
        if self.ended_at is None:
            return True
        ttl_seconds = ANSWER_TTL_SECONDS[self.answer.reachability]
        return now - self.ended_at < ttl_seconds


@dataclasses.dataclass
class EndpointConnector:
    """Open connections, record what that shows, and probe the links."""

    monitor: monitor_module.LinkMonitor
    relays: relay_client.RelayClient
    get_addresses: GetAddresses
    find_waiting: FindWaiting = lambda now: ()
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    _check_by_address: dict[messages.Address, _Check] = dataclasses.field(
        default_factory=dict
    )
    _may_leave_by_connection: dict[
        client.Connection, collections.abc.Callable[[], bool]
    ] = dataclasses.field(default_factory=dict)
    _probed_at: clock.MonotonicTime = monitor_module.NEVER
    _reached_none_at: clock.MonotonicTime = monitor_module.NEVER
    _probe_lock: curio.Lock = dataclasses.field(default_factory=curio.Lock)

    async def open(
        self, address: messages.Address, timeout_seconds: float
    ) -> client.Connection:
        """Return a connection; raise ConnectionFailed or LocalFailure."""
        if not self.monitor.is_isolated:
            try:
                return await self.open_direct(address, timeout_seconds)
            except errors.LocalFailure:
                raise
            except errors.ConnectionFailed:
                answer = await self._ask_briefly(address)
                if answer.reachability is not Reachability.REACHABLE:
                    raise
                assert answer.peer is not None
                self.monitor.metrics.count("links", "relayed")
                return await relay_client.open_through(answer.peer, address)
        self.monitor.metrics.count("links", "relayed")
        return await self.relays.open(address)

    async def open_direct(
        self, address: messages.Address, timeout_seconds: float
    ) -> client.Connection:
        """Return a connection of this daemon; raise ConnectionFailed."""
        sock = await self.open_socket(address, timeout_seconds)
        return client.Connection(address, sock)

    async def open_socket(
        self,
        address: messages.Address,
        timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> typing.Any:
        """Return a socket of this daemon; raise ConnectionFailed."""
        try:
            sock = await client.open_socket(address, timeout_seconds)
        except errors.LocalFailure:
            raise
        except errors.ConnectionFailed:
            self.monitor.record_failed()
            raise
        self.monitor.record_opened(address, clock.monotonic())
        return sock

    async def is_reached_by_peers(self, address: messages.Address) -> bool:
        """Return whether a peer says at once that it reaches an endpoint.

        A later answer still counts for the conclusion on the links.
        """
        answer = await self._ask_briefly(address)
        return answer.reachability is Reachability.REACHABLE

    async def _ask_briefly(
        self, address: messages.Address
    ) -> relay_client.Answer:
        check = await self._begin_check(address)
        async with curio.ignore_after(ANSWER_WAIT_SECONDS):
            await check.done.wait()
        return check.answer

    async def ask_peers(self, address: messages.Address) -> Reachability:
        """Ask peers for an endpoint that this daemon does not reach."""
        check = await self._begin_check(address)
        await check.done.wait()
        return check.answer.reachability

    async def _begin_check(self, address: messages.Address) -> _Check:
        """Return the current check of an endpoint, or start one."""
        now = clock.monotonic()
        check = self._check_by_address.get(address)
        if check is None or not check.is_current(now):
            self._check_by_address = {
                known: kept
                for known, kept in self._check_by_address.items()
                if kept.is_current(now)
            }
            check = self._check_by_address[address] = _Check()
            await curio.spawn(self._run_check, address, check, daemon=True)
        return check

    async def _run_check(
        self, address: messages.Address, check: _Check
    ) -> None:
        began = clock.monotonic()
        try:
            check.answer = await self.relays.check(address)
        finally:
            check.ended_at = clock.monotonic()
            await check.done.set()
        # The links may have come back while the peers were asked.
        if (
            check.answer.reachability is Reachability.REACHABLE
            and self.monitor.opened_at < began
        ):
            self.monitor.record_contradiction(address, check.ended_at)

    async def is_lost(self, address: messages.Address) -> bool:
        """Return whether an endpoint accepts no connection of any daemon."""
        began = clock.monotonic()
        if not self.monitor.is_isolated:
            if await self._probe_one(address) is not False:
                return False
        answer = await self.ask_peers(address)
        if self.monitor.is_isolated:
            return answer is Reachability.UNREACHABLE
        if answer is Reachability.UNKNOWN:
            if not self.relays.has_peers():
                return True
            return await self.reaches_others(address, began)
        return answer is Reachability.UNREACHABLE

    async def reaches_others(
        self, address: messages.Address, since: clock.MonotonicTime
    ) -> bool:
        """Return whether this daemon opened a connection since some time.

        It tries other endpoints than the one at the address.
        """
        if self.monitor.opened_at > since:
            return True
        others = [a for a in self.get_addresses() if a != address]
        if not others:
            return True
        async with self._probe_lock:
            now = clock.monotonic()
            if now - self._reached_none_at < LINK_TEST_PAUSE_SECONDS:
                return False
            count = min(LINK_TESTS, len(others))
            for other in self.rng.sample(others, count):
                if await self._probe_one(other):
                    return True
            self._reached_none_at = clock.monotonic()
            return False

    def may_reuse(self, connection: client.Connection) -> bool:
        """Return whether a kept connection may carry a request now."""
        if connection.relayed_by is not None:
            return self.monitor.is_isolated and self.relays.may_ask(
                connection.relayed_by
            )
        return not self.monitor.is_silent(clock.monotonic())

    @contextlib.contextmanager
    def interrupted_if_silent(
        self,
        connection: client.Connection,
        may_leave: collections.abc.Callable[[], bool],
    ) -> collections.abc.Iterator[None]:
        """Make an exchange fail once the links are found to be dead.

        It goes on while `may_leave` says that it has no other way.
        """
        if connection.relayed_by is None:
            self._may_leave_by_connection[connection] = may_leave
        try:
            yield
        finally:
            self._may_leave_by_connection.pop(connection, None)

    async def run(self) -> None:
        """Probe the links where that may change the conclusion."""
        while True:
            now = clock.monotonic()
            if self.monitor.is_silent(now):
                for connection, may_leave in tuple(
                    self._may_leave_by_connection.items()
                ):
                    if may_leave():
                        connection.abort()
            addresses = self._addresses_to_probe(now)
            if addresses and now - self._probed_at >= PROBE_INTERVAL_SECONDS:
                self._probed_at = now
                await curio.spawn(self._probe_links, addresses, daemon=True)
            await curio.sleep(CHECK_INTERVAL_SECONDS)

    def doubts_links(self, now: clock.MonotonicTime) -> bool:
        """Return whether this daemon may just have lost its links."""
        return bool(self._addresses_to_probe(now))

    def _addresses_to_probe(
        self, now: clock.MonotonicTime
    ) -> collections.abc.Sequence[messages.Address]:
        if self.monitor.is_isolated:
            return list(self.get_addresses())
        heard_at, opened_at = self.monitor.heard_at, self.monitor.opened_at
        if now - heard_at <= QUIET_SECONDS:
            return ()
        if heard_at < opened_at and now - opened_at <= QUIET_CHECK_SECONDS:
            return ()
        return self.find_waiting(now)

    async def _probe_links(
        self, addresses: collections.abc.Sequence[messages.Address]
    ) -> None:
        """Probe some endpoints, and ask peers if none was reached."""
        found = await self._probe(addresses)
        if any(opened is not False for opened in found):
            return
        if self.monitor.is_isolated:
            return
        count = min(PROBES_AT_ONCE, len(addresses))
        for address in self.rng.sample(addresses, count):
            await self._begin_check(address)

    async def _probe(
        self, addresses: collections.abc.Sequence[messages.Address]
    ) -> list[bool | None]:
        """Probe some addresses; return the results of `_probe_one`."""
        limit = (
            PROBES_WHILE_ISOLATED
            if self.monitor.is_isolated
            else PROBES_AT_ONCE
        )
        count = min(limit, len(addresses))
        async with curio.TaskGroup() as group:
            for address in self.rng.sample(addresses, count):
                await group.spawn(self._probe_one, address)
        return list(group.results)

    async def _probe_one(self, address: messages.Address) -> bool | None:
        """Return whether a connection opens, None if it cannot be tried."""
        try:
            sock = await self.open_socket(address, PROBE_TIMEOUT_SECONDS)
        except errors.LocalFailure:
            return None
        except errors.ConnectionFailed:
            return False
        await sock.close()
        return True
