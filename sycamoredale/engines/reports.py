"""Read load reports and cache events of engines.

Reports are delayed: a count may be seconds old.  Cache events are numbered.
Some arrive late and some never, so after a gap in the numbers the index of the
engine's cache may be wrong.
"""

import dataclasses
from typing import Final

import msgspec
import xxhash

from sycamoredale import decoding
from sycamoredale.engines import model_engine
from sycamoredale.engines import orders
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages

RUNNING_HEADER: Final = "X-Load-Running"
WAITING_HEADER: Final = "X-Load-Waiting"
CALL_TIMEOUT_SECONDS: Final = 1.0
BLOCK_BYTES: Final = 256
MAX_BLOCKS: Final = 64


class CacheEvent(msgspec.Struct, frozen=True):
    """Report prefix blocks that an engine cached and evicted."""

    sequence: int
    stored: list[int] = []
    dropped: list[int] = []


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Count the requests of an engine, as it reported them."""

    running: int
    waiting: int


@dataclasses.dataclass
class EngineReportClient:
    """Call engines for their state and cache events."""

    pool: client.Pool

    async def state(self, address: messages.Address) -> orders.EngineState:
        """Return an engine's state; raise ConnectionFailed or Broken."""
        return await model_engine.ModelEngineClient(self.pool).state(address)

    async def cache_events(
        self, address: messages.Address, after: int | None, limit: int
    ) -> list[CacheEvent]:
        """Return at most `limit` events after a number, or the newest.

        The newest are returned if `after` is None.
        Raises ConnectionFailed or ConnectionBroken.
        """
        position = "" if after is None else f"after={after}&"
        target = f"/v1/cache-events?{position}limit={limit}"
        request = messages.Request("GET", target)
        response = await self.pool.call(address, request, CALL_TIMEOUT_SECONDS)
        try:
            return decoding.decode_json(response.body, list[CacheEvent])
        except msgspec.DecodeError as error:
            raise errors.ConnectionBroken(
                error_codes.CONNECTION_BROKEN,
                f"engine {address} sent malformed cache events: {error}",
            ) from error


class _PromptText(msgspec.Struct):
    messages: msgspec.Raw = msgspec.Raw(b"")
    prompt: msgspec.Raw = msgspec.Raw(b"")


_PROMPT_DECODER: Final = decoding.JsonDecoder(_PromptText)


def hash_prompt_blocks(body: bytes) -> list[int]:
    """Return chained hashes of the complete blocks of a prompt."""
    try:
        text = _PROMPT_DECODER.decode(body)
    except msgspec.DecodeError:
        return []
    data = bytes(text.messages) or bytes(text.prompt)
    chained = xxhash.xxh3_64()
    blocks = []
    block_end = len(data) - len(data) % BLOCK_BYTES
    for start in range(
        0, min(block_end, MAX_BLOCKS * BLOCK_BYTES), BLOCK_BYTES
    ):
        chained.update(data[start : start + BLOCK_BYTES])
        blocks.append(chained.intdigest())
    return blocks


def load_from_headers(headers: messages.Headers) -> Load | None:
    """Return the load in the headers of an answer, or None."""
    running = headers.get(RUNNING_HEADER)
    waiting = headers.get(WAITING_HEADER)
    if running is None or not running.isdecimal():
        return None
    return Load(int(running), _count(waiting))


def _count(text: str | None) -> int:
    return int(text) if text is not None and text.isdecimal() else 0
