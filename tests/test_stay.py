"""Test what counts as company of a request that crashed its endpoint."""

import dataclasses

import pytest

from sycamoredale.requests import stay


@dataclasses.dataclass
class _Endpoint:
    in_flight: int = 0
    begun: int = 0


@pytest.mark.parametrize(
    ("before", "after", "alone"),
    [
        ([], [], True),
        (["stays"], [], False),
        (["ends"], [], True),
        ([], ["stays"], False),
        ([], ["ends"], False),
    ],
)
def test_company_is_whoever_was_there_at_any_time(
    before: list[str], after: list[str], alone: bool
) -> None:
    endpoint = _Endpoint()
    _begin(endpoint, before)
    own = stay.begin(endpoint)
    _begin(endpoint, after)
    assert own.is_alone is alone


def test_all_had_company_though_one_is_the_last_to_notice() -> None:
    """Break two connections one after the other, as a crash does."""
    endpoint = _Endpoint()
    stays = [stay.begin(endpoint) for _ in range(3)]
    for own in stays:
        assert not own.is_alone
        own.end()
    assert endpoint.in_flight == 0


def _begin(endpoint: _Endpoint, others: list[str]) -> None:
    for other in others:
        begun = stay.begin(endpoint)
        if other == "ends":
            begun.end()
