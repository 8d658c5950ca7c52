"""Call routers like a caller behind the platform's load balancer.

A call is retried at the next router when the connection fails or the answer
is truncated.  This is safe for chat calls, and for withdrawals because they
carry an idempotency key.
"""

import dataclasses
import http.client
import itertools
import json
import threading
import typing
from typing import Final

API_KEY: Final = "demo-key"
MAX_ATTEMPTS: Final = 6
CALL_TIMEOUT_SECONDS: Final = 30.0
DONE_EVENT: Final = b"data: [DONE]"


@dataclasses.dataclass(frozen=True)
class Answer:
    """Describe the last answer to a call and the number of attempts."""

    status: int
    body: bytes
    attempts: int

    def text(self) -> str:
        """Return the concatenated text of a streamed chat answer."""
        events = self.body.decode().split("\n\n")
        data = (e.removeprefix("data: ") for e in events if e)
        parts = (json.loads(d) for d in data if d != "[DONE]")
        return "".join(
            part["choices"][0]["delta"].get("content") or ""
            for part in parts
            if part["choices"]
        )


class FailoverClient:
    """Call routers round-robin and retry failed calls at the next one."""

    def __init__(self, addresses: list[str]) -> None:
        """Take the addresses of the routers."""
        self._addresses = itertools.cycle(addresses)
        self._lock = threading.Lock()

    def chat(self, text: str, tokens: int) -> Answer:
        """Send a chat call and return its streamed answer."""
        body = {
            "model": "assistant",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": tokens,
            "stream": True,
        }
        return self._call(
            "/v1/chat/completions", body, {}, _is_complete_stream
        )

    def withdraw(self, bottle: int, key: str) -> Answer:
        """Book one withdrawal under an idempotency key."""
        return self._call(
            "/services/bookings/withdrawals",
            {"bottle": bottle},
            {"Idempotency-Key": key},
            _is_final_booking,
        )

    def _call(
        self,
        path: str,
        body: object,
        headers: dict[str, str],
        is_final: typing.Callable[[int, bytes], bool],
    ) -> Answer:
        answer = Answer(0, b"", 0)
        for attempts in range(1, MAX_ATTEMPTS + 1):
            try:
                status, data = _post(self._next_address(), path, body, headers)
            except (OSError, http.client.HTTPException):
                continue
            answer = Answer(status, data, attempts)
            if is_final(status, data):
                return answer
        return answer

    def _next_address(self) -> str:
        with self._lock:
            return next(self._addresses)


def _post(
    address: str, path: str, body: object, headers: dict[str, str]
) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(
        address, timeout=CALL_TIMEOUT_SECONDS
    )
    authorization = {"Authorization": f"Bearer {API_KEY}"}
    try:
        connection.request(
            "POST", path, json.dumps(body), {**authorization, **headers}
        )
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _is_complete_stream(status: int, body: bytes) -> bool:
    return status == 200 and DONE_EVENT in body


def _is_final_booking(status: int, body: bytes) -> bool:
    if status == 200:
        return True
    execution: str = json.loads(body)["error"]["execution"]
    return execution != "not_run"
