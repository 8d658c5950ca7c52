"""Open many concurrent streams and print statistics as one JSON line.

The statistics contain the seconds from request to first event and between
events; the latter are reduced to a bounded sample.
"""

import json
import sys
import time
import typing

import curio

MAX_SAMPLED_GAPS: typing.Final = 20_000
EVENT_PREFIX: typing.Final = b"data: {"


class StreamStatistics:
    """Collect event counts and arrival times of all streams."""

    def __init__(self) -> None:
        """Create empty statistics."""
        self.events = 0
        self.complete = 0
        self.first_seconds: list[float] = []
        self.gap_seconds: list[float] = []


async def stream(
    address: str,
    headers: str,
    tokens: int,
    number: int,
    statistics: StreamStatistics,
) -> None:
    """Read one streamed answer to its end."""
    host, _, port = address.rpartition(":")
    body = json.dumps(
        {
            "model": "assistant",
            "prompt": f"stream {number}",
            "max_tokens": tokens,
            "stream": True,
        }
    )
    request = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )
    sock = await curio.open_connection(host, int(port))
    started = time.perf_counter()
    await sock.sendall(request.encode())
    previous = 0.0
    tail = b""
    async with sock:
        while True:
            data = await sock.recv(65536)
            now = time.perf_counter()
            if not data:
                return
            events = (tail + data).count(EVENT_PREFIX)
            tail = data[-len(EVENT_PREFIX) + 1 :]
            statistics.events += events
            if events:
                _record_arrival(statistics, started, previous, now)
                previous = now
            if b"[DONE]" in data:
                statistics.complete += 1
                return


async def run(address: str, headers: str, streams: int, tokens: int) -> None:
    """Run all streams and print the statistics."""
    statistics = StreamStatistics()
    tasks = []
    for number in range(streams):
        tasks.append(
            await curio.spawn(
                stream, address, headers, tokens, number, statistics
            )
        )
        await curio.sleep(0.002)
    for task in tasks:
        await task.join()
    result = {
        "events": statistics.events,
        "complete": statistics.complete,
        "first": statistics.first_seconds,
        "gap": statistics.gap_seconds[
            :: 1 + len(statistics.gap_seconds) // MAX_SAMPLED_GAPS
        ],
    }
    print(json.dumps(result))


def _record_arrival(
    statistics: StreamStatistics, started: float, previous: float, now: float
) -> None:
    if previous:
        statistics.gap_seconds.append(now - previous)
    else:
        statistics.first_seconds.append(now - started)


if __name__ == "__main__":
    curio.run(
        run, sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    )
