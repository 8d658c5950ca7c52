"""Test when an exchange without data counts as failed."""

import pytest

from sycamoredale.config import model
from sycamoredale.engines import completions
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.requests import attempt as attempt_module
from sycamoredale.requests import call as call_module
from sycamoredale.requests import liveness
from sycamoredale.routing import table

RUNNING = completions.RequestState.RUNNING
NOW = 100.0


@pytest.mark.parametrize(
    ("progress", "tokens", "changed_at", "stream", "failed"),
    [
        (completions.RequestProgress(RUNNING, 0), -1, 0.0, True, False),
        # Waiting in the queue of the engine, for any time.
        (completions.RequestProgress(RUNNING, 0), 0, 0.0, True, False),
        # Slow, but not stalled yet.
        (completions.RequestProgress(RUNNING, 1), 1, 98.0, True, False),
        (completions.RequestProgress(RUNNING, 1), 1, 95.0, True, True),
        # The engine has two tokens and the caller has received one.
        (completions.RequestProgress(RUNNING, 2), -1, 0.0, True, True),
        # Without streaming, the response arrives when it is complete.
        (completions.RequestProgress(RUNNING, 6), 5, 99.0, False, False),
        (completions.RequestProgress(RUNNING, 6), 6, 90.0, False, True),
        (
            completions.RequestProgress(RUNNING, 6, failed=True),
            5,
            99.0,
            False,
            True,
        ),
        (completions.RequestProgress(), -1, 0.0, False, True),
        (
            completions.RequestProgress(completions.RequestState.FINISHED),
            5,
            0.0,
            True,
            True,
        ),
    ],
)
def test_failure_reason(
    progress: completions.RequestProgress,
    tokens: int,
    changed_at: float,
    stream: bool,
    failed: bool,
) -> None:
    monitored = liveness.MonitoredAttempt(
        _attempt(stream), 0.0, 0.0, tokens, changed_at
    )
    reason = liveness.failure_reason(progress, monitored, NOW)
    assert bool(reason) == failed


def test_probe_is_due_only_after_a_time_without_data() -> None:
    pool = client.Pool()
    monitor = liveness.LivenessMonitor(
        pool, completions.CompletionClient(pool)
    )
    attempt = _attempt(stream=True)
    monitor.add(attempt, 0.0)
    assert monitor.due_probes(liveness.FIRST_PROBE_SECONDS - 0.1) == []
    attempt.data_received = True
    assert monitor.due_probes(liveness.FIRST_PROBE_SECONDS + 0.1) == []
    assert len(monitor.due_probes(liveness.FIRST_PROBE_SECONDS + 1.2)) == 1
    # Only one probe at a time is sent.
    assert monitor.due_probes(liveness.FIRST_PROBE_SECONDS + 9.0) == []
    monitor.remove(attempt)
    assert monitor.due_probes(NOW) == []


def _attempt(stream: bool) -> attempt_module.Attempt:
    service = model.Service("assistant", model.ServiceKind.MODEL, 1)
    request = messages.Request("POST", "/v1/completions")
    call = call_module.Call(
        id="request-1",
        organisation="organisation-1",
        service=service,
        upstream=request,
        idempotent=True,
        stream=stream,
        key=None,
        deadline_seconds=60.0,
    )
    endpoint = table.Endpoint(
        "e1", "assistant", "v1", "kochi", messages.Address("127.0.0.1", 1)
    )
    attempt = attempt_module.Attempt(call, endpoint, request)
    if stream:
        attempt.stream = completions.ResumableStream()
        attempt.stream.feed(b'data: {"choices":[{"text":"t "}]}\n\n')
    return attempt
