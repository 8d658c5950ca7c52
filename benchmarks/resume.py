"""Measure streams while engines are killed under them.

Printed are the share of streams that arrived whole and byte for byte, how
many were resumed, and the longest gap that callers of resumed streams saw.
"""

import concurrent.futures
import dataclasses
import json
import socket
import statistics
import time
import typing

import click

from benchmarks import site as site_module
from tests import processes
from tests import sites

TOKEN_SECONDS: typing.Final = 0.039


@dataclasses.dataclass
class Seen:
    """Hold what the caller of one stream saw."""

    whole: bool
    longest_gap_seconds: float


@click.command()
@click.option("--streams", default=60, help="Open streams at a time.")
@click.option("--tokens", default=150, help="Tokens of each stream.")
@click.option("--engines", default=6)
@click.option("--kills", default=2)
def main(streams: int, tokens: int, engines: int, kills: int) -> None:
    """Run the measurement and print one JSON line a figure."""
    with processes.Fleet() as fleet:
        settings: dict[str, object] = {
            "cold_limit": 64,
            "token_seconds": TOKEN_SECONDS,
        }
        site = sites.start(fleet, engines, engine_settings=settings)
        with concurrent.futures.ThreadPoolExecutor(streams) as pool:
            futures = [
                pool.submit(_stream, site, f"stream {n}", tokens)
                for n in range(streams)
            ]
            for engine in site.engines[:kills]:
                time.sleep(tokens * TOKEN_SECONDS / (kills + 1))
                engine.kill()
            seen = [future.result() for future in futures]
        resumed = sum(_resumed(engine) for engine in site.engines[kills:])
    facts = {"streams": streams, "engines": engines, "kills": kills}
    whole = sum(s.whole for s in seen) / streams
    gaps = sorted((s.longest_gap_seconds for s in seen), reverse=True)
    site_module.report("whole_streams", whole, "share", **facts)
    site_module.report("resumed_streams", resumed, "streams", **facts)
    if resumed:
        worst = gaps[:resumed]
        site_module.report(
            "resume_gap_p50", statistics.median(worst) * 1e3, "ms", **facts
        )
        site_module.report("resume_gap_max", worst[0] * 1e3, "ms", **facts)


def _stream(site: sites.Site, text: str, tokens: int) -> Seen:
    prompt: dict[str, object] = {
        "model": "assistant",
        "prompt": text,
        "max_tokens": tokens,
        "stream": True,
    }
    body = json.dumps(prompt)
    host, _, port = site.routers[0].address.rpartition(":")
    parts: list[bytes] = []
    longest = 0.0
    with socket.create_connection((host, int(port)), timeout=60) as sock:
        sock.sendall(
            f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
            f"Authorization: Bearer {sites.KEY}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        previous = None
        while piece := sock.recv(65536):
            now = time.perf_counter()
            if previous is not None:
                longest = max(longest, now - previous)
            previous = now
            parts.append(piece)
    answer = b"".join(parts)
    return Seen(_text(answer) == sites.expected_text(prompt), longest)


def _text(answer: bytes) -> str:
    if not answer.endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n"):
        return ""
    lines = answer.split(b"\n")
    return "".join(
        json.loads(line[6:])["choices"][0]["text"]
        for line in lines
        if line.startswith(b"data: {")
    )


def _resumed(engine: processes.Process) -> int:
    path = "/standin/resumed"
    return len(processes.request(engine.address, "GET", path).json())


if __name__ == "__main__":
    main()
