"""Exchange the accepted configuration between daemons.

A daemon with an older configuration sends its generation. The answer
contains the new pointer and the parts that are not in that generation.
"""

import collections
import dataclasses
from typing import Final

import msgspec

from sycamoredale.config import parts as parts_module
from sycamoredale.config import store as config_store
from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import peer_service
from sycamoredale.observability import logs

PATH: Final = "/peer/configuration"
FETCH_TIMEOUT_SECONDS: Final = 2.0
MAX_REMEMBERED_GENERATIONS: Final = 8
LOG: Final = logs.get("config.propagation")


class Request(msgspec.Struct, frozen=True, array_like=True):
    """Request the configuration; `generation` is the sender's, or 0."""

    generation: ids.Generation


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """List all parts and contain those that the requester lacks."""

    generation: ids.Generation
    version: ids.ObjectVersion
    digests: list[str]
    parts: list[parts_module.Part]


@dataclasses.dataclass
class Propagation:
    """Send the configuration to peers and fetch newer ones from them."""

    peers: peer_service.PeerService
    accepted: config_store.AcceptedConfiguration = (
        config_store.NOTHING_ACCEPTED
    )
    _digests_by_generation: collections.OrderedDict[
        ids.Generation, frozenset[str]
    ] = dataclasses.field(default_factory=collections.OrderedDict)

    def __post_init__(self) -> None:
        """Register the handler for requests of peers."""
        self.peers.register(PATH, self._handle_request)

    def on_accepted(
        self, accepted: config_store.AcceptedConfiguration
    ) -> None:
        """Serve a newly accepted configuration to peers.

        The digests of the last generations are kept, so that an answer can
        leave out the parts that the requester already has.
        """
        self.accepted = accepted
        digests_by_generation = self._digests_by_generation
        digests_by_generation[accepted.generation] = frozenset(
            accepted.parts_by_digest
        )
        while len(digests_by_generation) > MAX_REMEMBERED_GENERATIONS:
            digests_by_generation.popitem(last=False)

    async def fetch(
        self, peer: ids.DaemonId
    ) -> config_store.AcceptedConfiguration | None:
        """Return the configuration of a peer, None if that fails."""
        try:
            answer = await self._request(peer, self.accepted.generation)
            missing = _missing_digests(answer, self.accepted)
            if missing:
                answer = await self._request(peer, ids.Generation(0))
        except (errors.SycamoredaleError, msgspec.DecodeError) as error:
            LOG.info("fetch_failed", peer=peer, reason=str(error))
            return None
        return _assemble(answer, self.accepted)

    async def _request(
        self, peer: ids.DaemonId, generation: ids.Generation
    ) -> Answer:
        body = msgspec.json.encode(Request(generation))
        response = await self.peers.call(
            peer, PATH, body, FETCH_TIMEOUT_SECONDS
        )
        return decoding.decode_json(response, Answer)

    async def _handle_request(self, body: bytes) -> bytes:
        request = decoding.decode_json(body, Request)
        requester_digests: frozenset[str] = self._digests_by_generation.get(
            request.generation, frozenset()
        )
        by_digest = self.accepted.parts_by_digest
        answer = Answer(
            self.accepted.generation,
            self.accepted.version,
            list(by_digest),
            [
                part
                for digest, part in by_digest.items()
                if digest not in requester_digests
            ],
        )
        return msgspec.json.encode(answer)


def _missing_digests(
    answer: Answer, current: config_store.AcceptedConfiguration
) -> set[str]:
    received = {parts_module.compute_digest(part) for part in answer.parts}
    return set(answer.digests) - received - set(current.parts_by_digest)


def _assemble(
    answer: Answer, current: config_store.AcceptedConfiguration
) -> config_store.AcceptedConfiguration | None:
    received = {
        parts_module.compute_digest(part): part for part in answer.parts
    }
    available = {**current.parts_by_digest, **received}
    if not set(answer.digests) <= set(available):
        LOG.warning("parts_missing", generation=answer.generation)
        return None
    selected = {digest: available[digest] for digest in answer.digests}
    return config_store.build(answer.generation, answer.version, selected)
