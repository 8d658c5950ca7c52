"""Test which requests count as having run alone on an endpoint."""

import dataclasses

import pytest

from sycamoredale.requests import active_requests


@dataclasses.dataclass
class _Endpoint:
    in_flight: int = 0
    started_total: int = 0


@pytest.mark.parametrize(
    ("before", "after", "alone"),
    [
        ([], [], True),
        (["runs"], [], False),
        (["ends"], [], True),
        ([], ["runs"], False),
        ([], ["ends"], False),
    ],
)
def test_request_ran_alone_unless_another_overlapped(
    before: list[str], after: list[str], alone: bool
) -> None:
    endpoint = _Endpoint()
    _start(endpoint, before)
    own = active_requests.start(endpoint)
    _start(endpoint, after)
    assert own.ran_alone is alone


def test_no_request_ran_alone_however_late_it_finishes() -> None:
    """Finish the requests one after the other, as after a crash."""
    endpoint = _Endpoint()
    requests = [active_requests.start(endpoint) for _ in range(3)]
    for request in requests:
        assert not request.ran_alone
        request.finish()
    assert endpoint.in_flight == 0


def _start(endpoint: _Endpoint, others: list[str]) -> None:
    for other in others:
        started = active_requests.start(endpoint)
        if other == "ends":
            started.finish()
