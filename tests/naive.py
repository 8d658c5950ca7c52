"""Run a naive router as a baseline for tests and benchmarks.

It is one process without state or queue.  It sends each call to a random
endpoint and retries at another random one if that fails.  The endpoints are
fixed on its command line.
"""

import random
import sys
from typing import Final

import click
import curio
import msgspec

from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server

MAX_ATTEMPTS: Final = 3
CALL_TIMEOUT_SECONDS: Final = 6.0
SERVICE_PREFIX: Final = "/services/"
DROPPED_HEADERS: Final = frozenset(
    ("host", "content-length", "connection", "transfer-encoding")
)


class NaiveRouter:
    """Forward each call to a random endpoint of its service."""

    def __init__(self, by_service: dict[str, list[str]], seed: int) -> None:
        """Store the endpoint addresses by service and seed the choice."""
        self._by_service = by_service
        self._random = random.Random(seed)
        self._calls = 0

    async def handle(self, exchange: server.Exchange) -> None:
        """Forward one call, with retries, and send its answer."""
        request, service = self._forwarded_request(exchange.request)
        for _ in range(MAX_ATTEMPTS):
            address = self._random.choice(self._by_service[service])
            try:
                async with curio.timeout_after(CALL_TIMEOUT_SECONDS):
                    response = await _call(address, request)
            except (errors.SycamoredaleError, curio.TaskTimeout):
                continue
            await exchange.respond(response)
            return
        body = {"error": {"code": "failed", "execution": "not_run"}}
        await exchange.respond(messages.json_response(502, body))

    def _forwarded_request(
        self, request: messages.Request
    ) -> tuple[messages.Request, str]:
        self._calls += 1
        headers = request.headers.without(DROPPED_HEADERS)
        headers = headers.with_field("X-Request-Id", f"naive-{self._calls}")
        service, target = "assistant", request.target
        if target.startswith(SERVICE_PREFIX):
            service, _, rest = target[len(SERVICE_PREFIX) :].partition("/")
            target = f"/{rest}"
        forwarded = messages.Request(
            request.method, target, headers, request.body
        )
        return forwarded, service


async def _call(address: str, request: messages.Request) -> messages.Response:
    connection = await client.open_connection(messages.parse_address(address))
    try:
        await connection.send(request)
        head = await connection.read_head()
        body = await connection.read_body()
    finally:
        await connection.close()
    headers = head.headers.without(DROPPED_HEADERS)
    return messages.Response(head.status, headers, body)


@click.command()
@click.option("--endpoints", required=True, help="JSON, by service.")
@click.option("--seed", default=1)
def main(endpoints: str, seed: int) -> None:
    """Run the naive router and print its address."""
    by_service = msgspec.json.decode(endpoints, type=dict[str, list[str]])
    curio.run(_run, NaiveRouter(by_service, seed))


async def _run(router: NaiveRouter) -> None:
    http_server = server.Server(router.handle)
    bound = http_server.bind(messages.Address("127.0.0.1", 0))
    await http_server.start()
    sys.stdout.write(f"{bound}\n")
    sys.stdout.flush()
    await curio.Event().wait()


if __name__ == "__main__":
    main()
