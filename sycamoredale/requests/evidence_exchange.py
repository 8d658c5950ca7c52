"""Exchange the evidence on requests that crash endpoints with peers.

Notices reach the daemons that run when an endpoint is lost.  A daemon that
starts later fetches the evidence from daemons that have run for long, before
it takes requests.  From then on each daemon compares its evidence with that of
one peer now and then, for notices that were lost.

A daemon that has started with others may know nothing yet, so an answer tells
whether its sender is informed.  If all peers that are asked are not, there is
nobody to learn from.
"""

import collections.abc
import dataclasses
import enum
import random
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale.membership import peer_service
from sycamoredale.membership import registry as registry_module
from sycamoredale.membership import view
from sycamoredale.observability import logs
from sycamoredale.requests import crash_evidence

PATH: Final = "/peer/crash_evidence"
ANSWER_TIMEOUT_SECONDS: Final = 0.5
MEMBERS_POLL_SECONDS: Final = 0.02
# Peers that are asked at the start, some of them at once.
MAX_PEERS_ASKED: Final = 8
PEERS_ASKED_AT_ONCE: Final = 3
# Doubles each time.
FIRST_ASK_AGAIN_SECONDS: Final = 0.2
# Then a daemon counts as informed: earlier builds never tell that they are.
MAX_LEARNING_SECONDS: Final = 10.0
# Requests wait no longer for peers that do not answer.
MAX_WAIT_SECONDS: Final = 0.25
COMPARE_SECONDS: Final = 2.0
# Reached while evidence differs that neither of two daemons can send.
MAX_COMPARE_SECONDS: Final = 32.0
LOG: Final = logs.get("requests.evidence_exchange")


class EvidenceRequest(msgspec.Struct, frozen=True):
    """Ask for the evidence of a peer, unless it has this digest."""

    digest: str


class EvidenceAnswer(msgspec.Struct, frozen=True):
    """Return the evidence of a daemon.

    It `is_informed` if the daemon has learned that of others since its start.
    """

    is_informed: bool
    requests: list[crash_evidence.RequestReport] = []


class _Outcome(enum.Enum):
    """Tell what came of asking a peer."""

    INFORMED = "informed"
    UNINFORMED = "uninformed"
    ABSENT = "absent"
    UNKNOWN = "unknown"


@dataclasses.dataclass
class EvidenceExchange:
    """Learn the evidence of peers, and tell them that of this daemon.

    `has_records` returns whether the records in the store are known.
    """

    evidence: crash_evidence.CrashEvidence
    registry: registry_module.Registry
    peers: peer_service.PeerService
    has_records: collections.abc.Callable[[], bool] = lambda: True
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    read_clock: clock.ReadClock = clock.monotonic
    is_informed: bool = False
    _waiting_since: clock.MonotonicTime | None = None
    _news_count: int = 0

    def __post_init__(self) -> None:
        """Register the handler of requests from peers."""
        self.peers.register(PATH, self._answer_peer)

    def may_serve(self, now: clock.MonotonicTime) -> bool:
        """Return whether requests need not wait for what others know.

        The wait begins with the first call.
        """
        if self._waiting_since is None:
            self._waiting_since = now
        if self.is_informed and self.has_records():
            return True
        return now - self._waiting_since > MAX_WAIT_SECONDS

    async def run(self) -> None:
        """Learn the evidence of peers, then compare it until cancelled."""
        if not self.is_informed:
            await self._learn()
        pause = COMPARE_SECONDS
        while True:
            await curio.sleep(pause * self.rng.uniform(0.8, 1.2))
            others = self._others()
            if not others:
                continue
            news_count = self._news_count
            is_equal = await self._compare(self.rng.choice(others))
            if is_equal or self._news_count > news_count:
                pause = COMPARE_SECONDS
            else:
                pause = min(2 * pause, MAX_COMPARE_SECONDS)

    async def _learn(self) -> None:
        """Ask peers until one is informed, or until nobody can be."""
        began = self.read_clock()
        pause = FIRST_ASK_AGAIN_SECONDS
        while self.read_clock() - began < MAX_LEARNING_SECONDS:
            others = self._others()
            if not others and not self.registry.has_listed:
                await curio.sleep(MEMBERS_POLL_SECONDS)
                continue
            outcomes = await self._ask_some(others)
            if _Outcome.INFORMED in outcomes:
                break
            if _Outcome.UNKNOWN not in outcomes:
                break
            await curio.sleep(pause)
            pause *= 2
        self.is_informed = True
        LOG.info(
            "evidence_learned",
            seconds=round(self.read_clock() - began, 3),
            peers=len(self._others()),
            requests=self._news_count,
        )

    async def _ask_some(self, others: list[view.Peer]) -> set[_Outcome]:
        """Ask peers that have run for long, until one is informed."""
        chosen = self._longest_running(others)
        outcomes: set[_Outcome] = set()
        while chosen and _Outcome.INFORMED not in outcomes:
            batch = chosen[:PEERS_ASKED_AT_ONCE]
            del chosen[:PEERS_ASKED_AT_ONCE]
            async with curio.TaskGroup() as group:
                for peer in batch:
                    await group.spawn(self._ask, peer)
            outcomes.update(group.results)
        return outcomes

    def _longest_running(self, others: list[view.Peer]) -> list[view.Peer]:
        """Return peers among those of the older half, in random order."""
        count = max(MAX_PEERS_ASKED, len(others) // 2)
        older = sorted(others, key=lambda peer: peer.incarnation)[:count]
        return self.rng.sample(older, min(MAX_PEERS_ASKED, len(older)))

    def _others(self) -> list[view.Peer]:
        """Return the peers to ask, none while this daemon leaves."""
        members = self.registry.members
        if members.own.state is view.PeerState.LEFT:
            # A task that begins while the event loop shuts down makes the
            # process fail.
            return []
        return [p for p in members.live_routers() if p.id != members.own.id]

    async def _ask(self, peer: view.Peer) -> _Outcome:
        """Merge the evidence of a peer."""
        try:
            answer = await self._fetch(peer, crash_evidence.NO_EVIDENCE)
        except errors.LocalFailure:
            return _Outcome.UNKNOWN
        except errors.ConnectionFailed:
            return _Outcome.ABSENT
        except (errors.SycamoredaleError, msgspec.DecodeError) as error:
            LOG.info("evidence_not_sent", peer=peer.id, reason=str(error))
            return _Outcome.UNKNOWN
        if answer.is_informed:
            return _Outcome.INFORMED
        return _Outcome.UNINFORMED

    async def _compare(self, peer: view.Peer) -> bool:
        """Merge what a peer knows beyond this daemon; return if it is equal.

        A peer that does not answer has nothing else to tell.
        """
        own = crash_evidence.digest(self.evidence.reports(self.read_clock()))
        try:
            answer = await self._fetch(peer, own)
        except (errors.SycamoredaleError, msgspec.DecodeError) as error:
            LOG.debug("evidence_not_sent", peer=peer.id, reason=str(error))
            return True
        return not answer.requests

    async def _fetch(self, peer: view.Peer, digest: str) -> EvidenceAnswer:
        body = await self.peers.call_address(
            peer.address,
            PATH,
            msgspec.json.encode(EvidenceRequest(digest)),
            ANSWER_TIMEOUT_SECONDS,
        )
        answer = decoding.decode_json(body, EvidenceAnswer)
        news = self.evidence.merge(answer.requests, self.read_clock())
        if news:
            self._news_count += news
            LOG.info("evidence_received", peer=peer.id, requests=news)
        return answer

    async def _answer_peer(self, body: bytes) -> bytes:
        digest = decoding.decode_json(body, EvidenceRequest).digest
        reports = self.evidence.reports(self.read_clock())
        if crash_evidence.digest(reports) == digest:
            reports = []
        return msgspec.json.encode(EvidenceAnswer(self.is_informed, reports))
