"""Detect open connections on which no data arrives any more.

A device between the two ends may drop the state of a connection, which then
remains open and silent.  After a time without data the monitor asks the
engine for the state of the request over a new connection.  The result
distinguishes a failed endpoint, a dead connection and a slow response.  In
the first two cases the monitor aborts the attempt, and the dispatcher retries
the call where it may.  Of a plain service, which reports no state, the monitor
only tests whether it accepts a new connection.
"""

import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.engines import completions
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale import ids
from sycamoredale.observability import logs
from sycamoredale.requests import attempt as attempt_module

CHECK_INTERVAL_SECONDS: Final = 0.25
FIRST_PROBE_SECONDS: Final = 2.8
PROBE_INTERVAL_SECONDS: Final = 1.0
TOKEN_STALL_SECONDS: Final = 4.0
PLAIN_SERVICE_TIMEOUT_SECONDS: Final = 10.0
MAX_FAILED_PROBES: Final = 2
LOG: Final = logs.get("requests.liveness")


@dataclasses.dataclass(eq=False)
class MonitoredAttempt:
    """Store an attempt and the result of its last probe.

    `tokens` is -1 until the first probe since data arrived.
    """

    attempt: attempt_module.Attempt
    last_data_at: clock.MonotonicTime
    next_probe_at: clock.MonotonicTime
    tokens: int = -1
    tokens_changed_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    failed_probes: int = 0
    probe_running: bool = False


@dataclasses.dataclass
class LivenessMonitor:
    """Monitor the open attempts of a router."""

    pool: client.Pool
    engines: completions.CompletionClient
    _monitored_by_attempt: dict[int, MonitoredAttempt] = dataclasses.field(
        default_factory=dict
    )

    def add(
        self, attempt: attempt_module.Attempt, now: clock.MonotonicTime
    ) -> None:
        """Start to monitor an attempt."""
        monitored = MonitoredAttempt(
            attempt, now, _after(now, FIRST_PROBE_SECONDS)
        )
        self._monitored_by_attempt[id(attempt)] = monitored

    def remove(self, attempt: attempt_module.Attempt) -> None:
        """Stop monitoring an attempt."""
        self._monitored_by_attempt.pop(id(attempt), None)

    async def run(self) -> None:
        """Probe attempts when they are due, until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_SECONDS)
            for monitored in self.due_probes(clock.monotonic()):
                await curio.spawn(self._probe, monitored, daemon=True)

    def due_probes(self, now: clock.MonotonicTime) -> list[MonitoredAttempt]:
        """Return the attempts to probe now and mark them as being probed."""
        due: list[MonitoredAttempt] = []
        for monitored in self._monitored_by_attempt.values():
            attempt = monitored.attempt
            if attempt.data_received:
                attempt.data_received = False
                monitored.last_data_at = now
                monitored.next_probe_at = _after(now, PROBE_INTERVAL_SECONDS)
                monitored.failed_probes = 0
                monitored.tokens = -1
            elif (
                now >= monitored.next_probe_at and not monitored.probe_running
            ):
                monitored.probe_running = True
                due.append(monitored)
        return due

    async def _probe(self, monitored: MonitoredAttempt) -> None:
        attempt = monitored.attempt
        try:
            if attempt.call.is_model:
                await self._probe_engine(monitored)
            else:
                await self._probe_plain(monitored)
        finally:
            monitored.probe_running = False
            monitored.next_probe_at = _after(
                clock.monotonic(), PROBE_INTERVAL_SECONDS
            )
        if attempt.abort_reason is not None:
            LOG.info(
                "attempt_aborted",
                endpoint=attempt.endpoint.id,
                request=attempt.call.id,
                reason=attempt.abort_reason,
            )

    async def _probe_engine(self, monitored: MonitoredAttempt) -> None:
        attempt = monitored.attempt
        try:
            progress = await self.engines.progress(
                attempt.endpoint.address, attempt.call.id
            )
        except errors.LocalFailure:
            return
        except (errors.ConnectionFailed, errors.ConnectionBroken) as error:
            self._abort(monitored, error.message, endpoint_lost=True)
            return
        if attempt.data_received:
            return
        now = clock.monotonic()
        reason = failure_reason(progress, monitored, now)
        if progress.tokens != monitored.tokens:
            monitored.tokens = progress.tokens
            monitored.tokens_changed_at = now
        if reason is not None:
            self._abort(monitored, reason, endpoint_lost=progress.failed)

    async def _probe_plain(self, monitored: MonitoredAttempt) -> None:
        attempt = monitored.attempt
        try:
            probe = await self.pool.connect(
                attempt.endpoint.address, client.CONNECT_TIMEOUT_SECONDS
            )
            await probe.close()
            monitored.failed_probes = 0
        except errors.LocalFailure:
            return
        except errors.ConnectionFailed as error:
            monitored.failed_probes += 1
            if monitored.failed_probes >= MAX_FAILED_PROBES:
                self._abort(monitored, error.message, endpoint_lost=True)
            return
        silent_seconds = clock.monotonic() - monitored.last_data_at
        if (
            attempt.call.idempotent
            and silent_seconds > PLAIN_SERVICE_TIMEOUT_SECONDS
        ):
            self._abort(monitored, "no data arrived", endpoint_lost=False)

    def _abort(
        self, monitored: MonitoredAttempt, reason: str, endpoint_lost: bool
    ) -> None:
        if id(monitored.attempt) in self._monitored_by_attempt:
            monitored.attempt.abort(reason, endpoint_lost)


def failure_reason(
    progress: completions.RequestProgress,
    monitored: MonitoredAttempt,
    now: clock.MonotonicTime,
) -> str | None:
    """Return why a silent exchange with an engine has failed, or None.

    `monitored` has the result of the previous probe.  No data has arrived for
    at least a probe interval, so if the engine has generated tokens that did
    not arrive, the connection is dead.  A request that waits for its first
    token is not aborted, so that it keeps its position in the queue of the
    engine.
    """
    if progress.failed:
        return "the engine has failed"
    if progress.state is not completions.RequestState.RUNNING:
        return f"the engine reports the request as {progress.state.value}"
    stream = monitored.attempt.stream
    if stream is not None and progress.tokens > stream.token_count():
        return "the engine generated tokens that did not arrive"
    if progress.tokens != monitored.tokens:
        return None
    if (
        progress.tokens
        and now - monitored.tokens_changed_at > TOKEN_STALL_SECONDS
    ):
        return "the engine stopped generating tokens"
    return None


async def is_endpoint_lost(
    attempt: attempt_module.Attempt, engines: completions.CompletionClient
) -> bool:
    """Return whether the endpoint of a broken attempt has failed as well.

    An engine that does not know a request to which it had started to respond
    has restarted.
    """
    if attempt.abort_reason is not None:
        return attempt.endpoint_lost
    try:
        if not attempt.call.is_model:
            probe = await engines.pool.connect(
                attempt.endpoint.address, client.CONNECT_TIMEOUT_SECONDS
            )
            await probe.close()
            return False
        progress = await engines.progress(
            attempt.endpoint.address, ids.RequestId(attempt.call.id)
        )
    except errors.LocalFailure:
        return False
    except (errors.ConnectionFailed, errors.ConnectionBroken):
        return True
    is_unknown = progress.state is completions.RequestState.UNKNOWN
    return progress.failed or (is_unknown and attempt.head_received)


def _after(now: clock.MonotonicTime, seconds: float) -> clock.MonotonicTime:
    return clock.MonotonicTime(now + seconds)
