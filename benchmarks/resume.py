"""Measure the streams that are open while engines are killed.

Prints the share of streams that arrived complete with the expected text, the
number of resumed streams, and the longest gap between two reads of a caller
of a resumed stream.
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
class StreamResult:
    """Describe one stream as the caller received it."""

    complete: bool
    longest_gap_seconds: float


@click.command()
@click.option("--streams", default=60, help="Number of concurrent streams.")
@click.option("--tokens", default=150, help="Tokens per stream.")
@click.option("--engines", default=6)
@click.option("--kills", default=2)
def main(streams: int, tokens: int, engines: int, kills: int) -> None:
    """Run the benchmark and print one JSON line for each figure."""
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
            results = [future.result() for future in futures]
        resumed = sum(
            _count_resumed(engine) for engine in site.engines[kills:]
        )
    labels = {"streams": streams, "engines": engines, "kills": kills}
    complete = sum(s.complete for s in results) / streams
    gaps = sorted((s.longest_gap_seconds for s in results), reverse=True)
    site_module.report("whole_streams", complete, "share", **labels)
    site_module.report("resumed_streams", resumed, "streams", **labels)
    if resumed:
        worst = gaps[:resumed]
        site_module.report(
            "resume_gap_p50", statistics.median(worst) * 1e3, "ms", **labels
        )
        site_module.report("resume_gap_max", worst[0] * 1e3, "ms", **labels)


def _stream(site: sites.Site, text: str, tokens: int) -> StreamResult:
    prompt: dict[str, object] = {
        "model": "assistant",
        "prompt": text,
        "max_tokens": tokens,
        "stream": True,
    }
    body = json.dumps(prompt)
    host, _, port = site.routers[0].address.rpartition(":")
    chunks: list[bytes] = []
    longest_gap = 0.0
    with socket.create_connection((host, int(port)), timeout=60) as sock:
        sock.sendall(
            f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
            f"Authorization: Bearer {sites.KEY}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        previous = None
        while chunk := sock.recv(65536):
            now = time.perf_counter()
            if previous is not None:
                longest_gap = max(longest_gap, now - previous)
            previous = now
            chunks.append(chunk)
    answer = b"".join(chunks)
    return StreamResult(
        _text(answer) == sites.expected_text(prompt), longest_gap
    )


def _text(answer: bytes) -> str:
    if not answer.endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n"):
        return ""
    lines = answer.split(b"\n")
    return "".join(
        json.loads(line[6:])["choices"][0]["text"]
        for line in lines
        if line.startswith(b"data: {")
    )


def _count_resumed(engine: processes.Process) -> int:
    path = "/standin/resumed"
    return len(processes.request(engine.address, "GET", path).json())


if __name__ == "__main__":
    main()
