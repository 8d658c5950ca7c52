"""Simulate a plain service that books withdrawals.

The ledger counts executions by idempotency key, or by request id if a
request has no key, so that tests can detect duplicates.
"""

import collections
import dataclasses
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.standins import records

REQUEST_ID_HEADER: Final = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"


class Faults(msgspec.Struct, frozen=True):
    """Configure the faults that the ledger injects.

    `delay` is in seconds.  `lose_answers` is the number of requests whose
    connection is closed after their execution, without a response.
    """

    delay: float = 0.0
    lose_answers: int = 0
    refuse: bool = False


@dataclasses.dataclass
class Ledger:
    """Execute withdrawals and count the executions."""

    instance: ids.InstanceId = ids.InstanceId("ledger")
    recorder: records.Recorder = dataclasses.field(
        default_factory=records.Recorder
    )
    faults: Faults = Faults()
    executions_by_key: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    executions_by_request: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    async def handle(self, exchange: server.Exchange) -> None:
        """Route one request to its handler and respond."""
        request = exchange.request
        match (request.method, request.path):
            case ("PUT", "/standin/faults"):
                self.faults = msgspec.json.decode(request.body, type=Faults)
                await exchange.respond(messages.json_response(200, {}))
            case ("GET", "/standin/executions"):
                await exchange.respond(
                    messages.json_response(200, self.executions_by_key)
                )
            case ("GET", "/standin/requests"):
                await exchange.respond(
                    messages.json_response(200, self.executions_by_request)
                )
            case ("POST", _):
                await self._execute(exchange)
            case ("GET", "/inventory"):
                await exchange.respond(
                    _response_with_request_id(request, self._inventory())
                )
            case _:
                await exchange.respond(messages.json_response(404, {}))

    async def _execute(self, exchange: server.Exchange) -> None:
        request = exchange.request
        if self.faults.refuse:
            raise ConnectionResetError("injected fault: request refused")
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        request_id = request.headers.get(REQUEST_ID_HEADER) or ""
        counted_key = key or request_id
        self.executions_by_request[request_id] += 1
        self.executions_by_key[counted_key] += 1
        self.recorder.write(
            records.RequestStarted(
                clock.monotonic(),
                self.instance,
                request.headers.get(REQUEST_ID_HEADER) or "",
                marker=request.body.decode(),
                key=key or "",
            )
        )
        await curio.sleep(self.faults.delay)
        if self.faults.lose_answers:
            left = self.faults.lose_answers - 1
            self.faults = msgspec.structs.replace(
                self.faults, lose_answers=left
            )
            raise ConnectionResetError("injected fault: response lost")
        body = {
            "booked": counted_key,
            "execution": self.executions_by_key[counted_key],
        }
        await exchange.respond(_response_with_request_id(request, body))

    def _inventory(self) -> dict[str, int]:
        return {"withdrawals": self.executions_by_key.total()}


def _response_with_request_id(
    request: messages.Request, body: dict[str, int] | dict[str, object]
) -> messages.Response:
    response = messages.json_response(200, body)
    request_id = request.headers.get(REQUEST_ID_HEADER) or ""
    headers = response.headers.with_field(REQUEST_ID_HEADER, request_id)
    return dataclasses.replace(response, headers=headers)
