"""Carry a call to an endpoint and its answer back, unchanged.

A request is sent again only where that is safe: it has surely not run, or
its route allows another run.  A stream that may be resumed goes on at
another endpoint after the last event that the caller has, inside the same
answer.  An endpoint that stands still is left before it has failed.
"""

import collections.abc
import contextlib
import dataclasses
import enum
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import choosing
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import event_stream
from sycamoredale.forwarding import listing
from sycamoredale.forwarding import send_budget
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.observability import logs
from sycamoredale.requests import poison

# A healthy zone answers a connection in a few milliseconds.
CONNECT_SECONDS: Final = 0.3
# The longest pass of a healthy engine takes seven steps that each read a
# whole piece of a prompt, about a third of a second.
STALL_SECONDS: Final = 0.5
# A stream that stands still while its endpoint goes on was put back in the
# endpoint's queue; callers give up after about two seconds.
PUT_BACK_SECONDS: Final = 1.5
# The list drops a dead instance after three heartbeats, within about that
# time; a connection tried meanwhile would be lost time for its caller.
UNREACHED_SECONDS: Final = 4.0
# Bounds the tries of one call that find only endpoints that refuse.
MAX_SENDS: Final = 5
# A begun answer waits for another endpoint this long; callers give up a
# silent stream after about two seconds.
ROOM_SECONDS: Final = 1.5
ROOM_POLL_SECONDS: Final = 0.05
LOG: Final = logs.get("forwarding")
_T = typing.TypeVar("_T")


class Wire(typing.Protocol):
    """Translate requests and answers at the boundary."""

    def request_for(
        self,
        call: calls.Call,
        instance: listing.Instance,
        seconds_left: float,
        last_event: int | None,
        continues: bool,
    ) -> messages.Request:
        """Return the request that goes to an instance."""

    def read_answer(
        self, call: calls.Call, head: messages.ResponseHead
    ) -> calls.AnswerFacts:
        """Return what the head of an answer says."""


class Outcome(enum.Enum):
    """State how one send ended."""

    ANSWERED = "answered"
    UNREACHED = "unreached"
    NOT_RUN = "not_run"
    STALLED = "stalled"
    BROKEN = "broken"
    FAILED = "failed"


@dataclasses.dataclass
class Progress:
    """Know where a call has been and what the caller has of its answer."""

    call: calls.Call
    stream: event_stream.EventStream
    sends: list[str] = dataclasses.field(default_factory=list)
    at: ids.InstanceId | None = None
    arrivals: int = 0
    runs: int = 0
    may_have_run: bool = False
    head_seen: bool = False
    tried: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    failure: messages.Response | None = None
    refusal: errors.Refusal | None = None
    caller_gone: bool = False

    def may_go_on(self) -> bool:
        """Tell whether another send is safe and within the route's bound."""
        if len(self.sends) >= MAX_SENDS:
            return False
        if not self.may_have_run:
            return True
        route = self.call.route
        return route.may_repeat and self.runs < route.max_runs

    def note(self, endpoint: endpoints.Endpoint, outcome: Outcome) -> None:
        """Take the end of a send into account.

        An engine runs a stream from its first event on, which comes with
        the head of the answer.
        """
        self.sends.append(f"{endpoint.id}:{outcome.value}")
        self.at = None
        self.tried.add(endpoint.id)
        self.arrivals += outcome is not Outcome.UNREACHED
        if outcome is Outcome.STALLED:
            self.may_have_run = True
            self.runs += not self.call.is_stream or self.head_seen
        elif outcome not in (Outcome.UNREACHED, Outcome.NOT_RUN):
            self.may_have_run = True
            self.runs += 1
        self.head_seen = False


def begin(call: calls.Call) -> Progress:
    """Return the progress of a call of which nothing is done yet."""
    return Progress(call, event_stream.EventStream(call.envelope.last_event))


class CallerGone(Exception):
    """Report that the caller closed its connection."""


@dataclasses.dataclass
class Forwarder:
    """Forward calls to the endpoints that a chooser names."""

    wire: Wire
    chooser: choosing.Chooser
    budget: send_budget.SendBudget
    pool: client.Pool
    poison_list: poison.PoisonList

    async def run(self, progress: Progress, exchange: server.Exchange) -> None:
        """Write the answer to a call; raise Refusal or CallerGone."""
        call = progress.call
        left = call.ends_at - clock.monotonic()
        self.poison_list.check_fingerprint(call.fingerprint, call.arrived_at)
        self.budget.note_request(call.service.name, call.arrived_at)
        try:
            async with curio.timeout_after(max(left, 0.001)):
                await _beside_caller(self._run_refusable, progress, exchange)
        except curio.TaskTimeout:
            raise _deadline_refusal(progress) from None
        if progress.refusal is not None:
            raise progress.refusal

    async def _run_refusable(
        self, progress: Progress, exchange: server.Exchange
    ) -> None:
        # A task that ends with an exception would be reported as crashed.
        try:
            await self._run_sends(progress, exchange)
        except errors.Refusal as refusal:
            progress.refusal = refusal
        except OSError:
            progress.caller_gone = True

    async def _run_sends(
        self, progress: Progress, exchange: server.Exchange
    ) -> None:
        while True:
            try:
                endpoint = await self._choose(progress, exchange)
            except errors.Refusal:
                if not progress.may_have_run:
                    raise
                break  # A refusal would say that the request has not run.
            outcome = await self._send(endpoint, progress, exchange)
            progress.note(endpoint, outcome)
            if outcome is Outcome.ANSWERED:
                return
            if not progress.may_go_on() or not self._has_budget(progress):
                break
            if progress.may_have_run:
                self.poison_list.check_fingerprint(
                    progress.call.fingerprint, clock.monotonic()
                )
            progress.stream.restart()
        if progress.failure is not None and not exchange.started:
            await exchange.respond(progress.failure)
            return
        raise _given_up(progress)

    def _has_budget(self, progress: Progress) -> bool:
        """Take a further send; the first that arrives is none."""
        if not progress.arrivals:
            return True
        now = clock.monotonic()
        return self.budget.take(progress.call.service.name, now)

    async def _choose(
        self, progress: Progress, exchange: server.Exchange
    ) -> endpoints.Endpoint:
        waits_until = clock.monotonic() + ROOM_SECONDS
        while True:
            now = clock.monotonic()
            try:
                return self.chooser.choose(
                    progress.call, progress.tried, now, bool(progress.sends)
                )
            except errors.Refusal:
                # What the caller has of a stream is worth a short wait.
                if not exchange.started or now > waits_until:
                    raise
            await curio.sleep(ROOM_POLL_SECONDS)

    async def _send(
        self,
        endpoint: endpoints.Endpoint,
        progress: Progress,
        exchange: server.Exchange,
    ) -> Outcome:
        endpoint.in_flight += 1
        progress.at = endpoint.id
        try:
            return await self._exchange(endpoint, progress, exchange)
        finally:
            endpoint.in_flight -= 1

    async def _exchange(
        self,
        endpoint: endpoints.Endpoint,
        progress: Progress,
        exchange: server.Exchange,
    ) -> Outcome:
        call = progress.call
        # A kept connection may be closed by its end at any time, and a
        # request lost on it could not be told from one that ran.
        fresh = not call.route.may_repeat
        try:
            connection = await self.pool.acquire(
                endpoint.instance.address, fresh, CONNECT_SECONDS
            )
        except errors.ConnectionFailed as error:
            endpoint.suspect(clock.monotonic(), UNREACHED_SECONDS)
            _log_send(progress, endpoint, error.message)
            return Outcome.UNREACHED
        whole = False
        try:
            now = clock.monotonic()
            self.chooser.sent(endpoint, now)
            request = self.wire.request_for(
                call,
                endpoint.instance,
                call.ends_at - now,
                progress.stream.last_event,
                continues=bool(progress.sends),
            )
            await connection.send(request)
            outcome = await self._read_answer(
                connection, endpoint, progress, exchange
            )
            whole = outcome in (Outcome.ANSWERED, Outcome.NOT_RUN)
            return outcome
        except errors.EndpointStalled as error:
            _log_send(progress, endpoint, error.message)
            return Outcome.STALLED
        except errors.ConnectionBroken as error:
            _log_send(progress, endpoint, error.message)
            await self._note_crash(endpoint, call)
            return Outcome.BROKEN
        finally:
            await self._leave(connection, whole)

    async def _note_crash(
        self, endpoint: endpoints.Endpoint, call: calls.Call
    ) -> None:
        """Count a crash, and tell the other daemons.

        A connection also breaks when the group is closed or a packet is
        lost for good.  An endpoint that has crashed takes no new one.
        """
        try:
            connection = await client.open_connection(
                endpoint.instance.address, CONNECT_SECONDS
            )
        except errors.ConnectionFailed:
            crash = poison.Crash(
                call.fingerprint,
                ids.EndpointId(endpoint.id),
                endpoint.instance.domain,
                alone=endpoint.in_flight == 1,
            )
            self.poison_list.observe(crash, clock.monotonic())
        else:
            await connection.close()

    async def _leave(self, connection: client.Connection, whole: bool) -> None:
        if whole:
            await self.pool.release(connection)
        else:
            await connection.close()

    async def _read_answer(
        self,
        connection: client.Connection,
        endpoint: endpoints.Endpoint,
        progress: Progress,
        exchange: server.Exchange,
    ) -> Outcome:
        call = progress.call
        head = await self._read_head(connection, endpoint, call)
        progress.head_seen = True
        facts = self.wire.read_answer(call, head)
        now = clock.monotonic()
        if facts.load is not None:
            endpoint.note_load(facts.load, now)
        if facts.word is calls.Word.NOT_RUN:
            await _drain(connection)
            endpoint.suspect(now)
            _log_send(progress, endpoint, f"status {head.status}, not run")
            return Outcome.NOT_RUN
        if facts.word is not calls.Word.ANSWER:
            raise _broken(endpoint, f"its answer is {facts.word.value}")
        if call.is_stream and head.status == 200:
            await self._relay(connection, endpoint, facts, progress, exchange)
            return Outcome.ANSWERED
        body = await connection.read_body()
        answer = messages.Response(head.status, facts.headers, body)
        if head.status >= 500:
            progress.failure = answer
            return Outcome.FAILED
        if exchange.started:
            raise _broken(endpoint, f"status {head.status} to a resume")
        endpoint.heard(now)
        await exchange.respond(answer)
        return Outcome.ANSWERED

    async def _read_head(
        self,
        connection: client.Connection,
        endpoint: endpoints.Endpoint,
        call: calls.Call,
    ) -> messages.ResponseHead:
        if not call.route.may_repeat:
            return await connection.read_head()
        if not call.is_stream:
            return await connection.read_head()
        patience = call.ends_at - clock.monotonic()
        return await _read(connection.read_head, endpoint, patience)

    async def _relay(
        self,
        connection: client.Connection,
        endpoint: endpoints.Endpoint,
        facts: calls.AnswerFacts,
        progress: Progress,
        exchange: server.Exchange,
    ) -> None:
        stream = progress.stream
        patience = progress.call.ends_at - clock.monotonic()
        while True:
            chunk = await _read(connection.read_chunk, endpoint, patience)
            if not chunk:
                break
            events = stream.feed(chunk)
            if events:
                endpoint.heard(clock.monotonic())
                patience = PUT_BACK_SECONDS
                await _pass_on(events, facts, exchange)
            if stream.out_of_order:
                raise _broken(endpoint, "an event of the stream is missing")
        if not stream.ends_whole:
            raise _broken(endpoint, "the stream ended within an event")
        if not exchange.started:
            await exchange.start(messages.ResponseHead(200, facts.headers))
        await exchange.finish()


async def _pass_on(
    events: bytes, facts: calls.AnswerFacts, exchange: server.Exchange
) -> None:
    if not exchange.started:
        await exchange.start(messages.ResponseHead(200, facts.headers))
    await exchange.write(events)


async def _read(
    read: collections.abc.Callable[[], collections.abc.Awaitable[_T]],
    endpoint: endpoints.Endpoint,
    patience: float,
) -> _T:
    """Return what is read; raise ConnectionBroken if that takes too long.

    An endpoint that no daemon has heard for some time stands still.  One
    that goes on with other requests has this one in its queue, which may
    last for `patience` seconds.
    """
    started = clock.monotonic()
    while True:
        now = clock.monotonic()
        if now >= started + patience:
            raise errors.EndpointStalled(
                f"endpoint {endpoint.id}: no event for {patience:g} s"
            )
        stalls_at = max(started, endpoint.heard_at) + STALL_SECONDS
        if now >= stalls_at:
            endpoint.suspect(now)
            raise errors.EndpointStalled(
                f"endpoint {endpoint.id}: it made no progress for "
                f"{STALL_SECONDS:g} s"
            )
        try:
            async with curio.timeout_after(
                min(stalls_at, started + patience) - now
            ):
                return await read()
        except curio.TaskTimeout:
            continue


async def _drain(connection: client.Connection) -> None:
    with contextlib.suppress(errors.ConnectionBroken):
        await connection.read_body()


def _broken(
    endpoint: endpoints.Endpoint, reason: str
) -> errors.ConnectionBroken:
    return errors.ConnectionBroken(
        error_codes.CONNECTION_BROKEN,
        f"endpoint {endpoint.id}: {reason}",
        error_codes.Execution.UNKNOWN,
    )


def _given_up(progress: Progress) -> errors.Refusal:
    name = progress.call.service.name
    if progress.may_have_run:
        return errors.Refusal(
            error_codes.ENDPOINT_FAILED,
            f"an endpoint of service {name!r} failed while it had the request",
            error_codes.Execution.UNKNOWN,
        )
    return errors.Refusal(
        error_codes.NO_ENDPOINT,
        f"no endpoint of service {name!r} took the request",
        retry_after=choosing.NO_ENDPOINT_RETRY_SECONDS,
    )


def _deadline_refusal(progress: Progress) -> errors.Refusal:
    return errors.Refusal(
        error_codes.DEADLINE_EXCEEDED,
        "the time for an answer has passed",
        error_codes.Execution.UNKNOWN,
    )


def _log_send(
    progress: Progress, endpoint: endpoints.Endpoint, reason: str
) -> None:
    LOG.info(
        "send_failed",
        request=progress.call.id,
        endpoint=endpoint.id,
        group=endpoint.instance.membership
        and endpoint.instance.membership.group,
        load=round(endpoint.load(clock.monotonic()), 1),
        heard_ms_ago=_ms_since(endpoint.heard_at),
        events=progress.stream.events,
        reason=reason,
    )


def _ms_since(at: clock.MonotonicTime) -> int | None:
    return int(1000 * (clock.monotonic() - at)) if at else None


async def _beside_caller(
    work: collections.abc.Callable[..., collections.abc.Awaitable[None]],
    progress: Progress,
    exchange: server.Exchange,
) -> None:
    """Run work until it ends or the caller leaves; raise CallerGone."""
    worker = await curio.spawn(work, progress, exchange, daemon=True)
    watcher = await curio.spawn(_watch_caller, exchange, worker, daemon=True)
    try:
        await worker.join()
    except curio.TaskError as error:
        cause = error.__cause__
        if isinstance(cause, curio.TaskCancelled):
            raise CallerGone() from error
        assert cause is not None
        raise cause from None
    else:
        if progress.caller_gone:
            raise CallerGone()
    finally:
        await watcher.cancel()
        await worker.cancel()


async def _watch_caller(exchange: server.Exchange, worker: typing.Any) -> None:
    await exchange.wait_for_disconnect()
    await worker.cancel(blocking=False)
