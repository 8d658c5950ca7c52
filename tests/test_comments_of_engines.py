"""Test that comments of an engine do not keep its silence unnoticed."""

import dataclasses

import curio
import pytest

from sycamoredale import clock
from sycamoredale.config import model
from sycamoredale.engines import completions
from sycamoredale.http import client
from sycamoredale.requests import attempt as attempt_module
from sycamoredale.requests import liveness
from tests import endless_source
from tests import test_attempt
from tests import test_forwarder
from tests import test_giving_way

HEAD = test_giving_way.STREAM_HEAD.replace(
    b"\r\n\r\n", b"\r\nX-Request-Id: request-1\r\n\r\n"
)
TOKEN = b'data: {"choices":[{"text":"a"}]}\n\n'


# Guards against a stream that goes on until its deadline on an engine that
# has stopped: comments counted as data, so the engine was never asked.
@pytest.mark.parametrize(("rest", "is_due"), [(b": c\n\n", 1), (TOKEN, 0)])
def test_engine_that_sends_only_comments_is_asked(rest, is_due):
    source = endless_source.EndlessSource("a", HEAD + TOKEN, rest, pause=0.1)
    attempt = test_attempt._attempt(source, idempotent=True)
    service = model.Service("chat", model.ServiceKind.MODEL, 1)
    attempt.call = dataclasses.replace(attempt.call, service=service)
    pool = client.Pool()
    monitor = liveness.LivenessMonitor(
        pool, completions.CompletionClient(pool)
    )

    async def main():
        task = await curio.spawn(
            attempt_module.relay_stream,
            attempt,
            pool,
            completions.ResumableStream(),
            test_forwarder.Caller(),
            daemon=True,
        )
        monitor.add(attempt, clock.monotonic())
        due = 0
        for _ in range(8):
            await curio.sleep(0.2)
            due += len(monitor.due_probes(clock.monotonic()))
        await task.cancel()
        return attempt.head_received, due

    try:
        assert curio.run(main) == (True, is_due)
    finally:
        source.close()
