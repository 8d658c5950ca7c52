"""Notice open connections on which nothing arrives any more.

Something between the two ends may lose track of a connection, which then
stays open and silent.  After a time of silence the watch asks about the
request over a new connection.  The answer tells a dead endpoint, a dead
connection and a slow answer apart; in the first two cases the exchange is
made to fail, and whoever runs the call moves it on.
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

TICK_SECONDS: Final = 0.25
FIRST_ANSWER_SECONDS: Final = 2.8
TOKEN_GAP_SECONDS: Final = 1.0
STALL_SECONDS: Final = 4.0
PLAIN_SECONDS: Final = 10.0
FAILED_PROBES: Final = 2
LOG: Final = logs.get("requests.silence")


@dataclasses.dataclass(eq=False)
class Watched:
    """Hold an attempt and what the last probe told of it."""

    attempt: attempt_module.Attempt
    silent_since: clock.MonotonicTime
    next_probe: clock.MonotonicTime
    tokens: int = -1
    tokens_since: clock.MonotonicTime = clock.MonotonicTime(0.0)
    failed_probes: int = 0
    probing: bool = False


@dataclasses.dataclass
class SilenceWatch:
    """Watch the open attempts of a router."""

    pool: client.Pool
    engines: completions.Completions
    _watched_by_attempt: dict[int, Watched] = dataclasses.field(
        default_factory=dict
    )

    def add(
        self, attempt: attempt_module.Attempt, now: clock.MonotonicTime
    ) -> None:
        """Start to watch an attempt."""
        watched = Watched(attempt, now, _after(now, FIRST_ANSWER_SECONDS))
        self._watched_by_attempt[id(attempt)] = watched

    def remove(self, attempt: attempt_module.Attempt) -> None:
        """Stop watching an attempt."""
        self._watched_by_attempt.pop(id(attempt), None)

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            await curio.sleep(TICK_SECONDS)
            for watched in self.due(clock.monotonic()):
                await curio.spawn(self._probe, watched, daemon=True)

    def due(self, now: clock.MonotonicTime) -> list[Watched]:
        """Return the attempts to ask about now."""
        found: list[Watched] = []
        for watched in self._watched_by_attempt.values():
            attempt = watched.attempt
            if attempt.heard:
                attempt.heard = False
                watched.silent_since = now
                watched.next_probe = _after(now, TOKEN_GAP_SECONDS)
                watched.failed_probes = 0
                watched.tokens = -1
            elif now >= watched.next_probe and not watched.probing:
                watched.probing = True
                found.append(watched)
        return found

    async def _probe(self, watched: Watched) -> None:
        attempt = watched.attempt
        try:
            if attempt.call.is_model:
                await self._probe_engine(watched)
            else:
                await self._probe_plain(watched)
        finally:
            watched.probing = False
            watched.next_probe = _after(clock.monotonic(), TOKEN_GAP_SECONDS)
        if attempt.severed is not None:
            LOG.info(
                "attempt_severed",
                endpoint=attempt.endpoint.id,
                request=attempt.call.id,
                reason=attempt.severed,
            )

    async def _probe_engine(self, watched: Watched) -> None:
        attempt = watched.attempt
        try:
            progress = await self.engines.progress(
                attempt.endpoint.address, attempt.call.id
            )
        except (errors.ConnectionFailed, errors.ConnectionBroken) as error:
            self._sever(watched, error.message, gone=True)
            return
        if attempt.heard:
            return
        now = clock.monotonic()
        reason = judge(progress, watched, now)
        if progress.tokens != watched.tokens:
            watched.tokens = progress.tokens
            watched.tokens_since = now
        if reason is not None:
            self._sever(watched, reason, gone=progress.failed)

    async def _probe_plain(self, watched: Watched) -> None:
        attempt = watched.attempt
        try:
            probe = await client.open_connection(attempt.endpoint.address)
            await probe.close()
            watched.failed_probes = 0
        except errors.ConnectionFailed as error:
            watched.failed_probes += 1
            if watched.failed_probes >= FAILED_PROBES:
                self._sever(watched, error.message, gone=True)
            return
        silent_seconds = clock.monotonic() - watched.silent_since
        if attempt.call.idempotent and silent_seconds > PLAIN_SECONDS:
            self._sever(watched, "nothing arrived", gone=False)

    def _sever(self, watched: Watched, reason: str, gone: bool) -> None:
        if id(watched.attempt) in self._watched_by_attempt:
            watched.attempt.sever(reason, gone)


def judge(
    progress: completions.Progress,
    watched: Watched,
    now: clock.MonotonicTime,
) -> str | None:
    """Return why a silent exchange with an engine is lost, or None.

    `watched` holds what the last probe found, -1 tokens if there was none.
    A token that an engine has had for a whole gap would have arrived.  A
    request that waits for its first token is left in its queue.
    """
    if progress.failed:
        return "the engine has failed"
    if progress.state is not completions.RunState.RUNNING:
        return f"the engine says {progress.state.value} of the request"
    stream = watched.attempt.stream
    if stream is not None and progress.tokens > stream.tokens():
        return "the engine generated tokens that did not arrive"
    if progress.tokens != watched.tokens:
        return None
    if progress.tokens and now - watched.tokens_since > STALL_SECONDS:
        return "the engine generates no more tokens"
    return None


async def is_lost(
    attempt: attempt_module.Attempt, engine: completions.Completions
) -> bool:
    """Tell whether the endpoint of a broken attempt is lost as well.

    An engine that answers, but has forgotten a request that it had begun
    to answer, has started anew.
    """
    if attempt.severed is not None:
        return attempt.gone
    try:
        if not attempt.call.is_model:
            probe = await client.open_connection(attempt.endpoint.address)
            await probe.close()
            return False
        progress = await engine.progress(
            attempt.endpoint.address, ids.RequestId(attempt.call.id)
        )
    except (errors.ConnectionFailed, errors.ConnectionBroken):
        return True
    forgotten = progress.state is completions.RunState.UNKNOWN
    return progress.failed or (forgotten and attempt.answered)


def _after(now: clock.MonotonicTime, seconds: float) -> clock.MonotonicTime:
    return clock.MonotonicTime(now + seconds)
