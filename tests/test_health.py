"""Test health tracking by the outcomes of a router's exchanges."""

import msgspec

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.routing import health

ENDPOINTS = [ids.EndpointId(f"e{n}") for n in range(8)]
SERVICE = ids.ServiceName("assistant")


class _Notices(gossip.Gossip):
    """Record published notices."""

    def __init__(self) -> None:
        """Start without notices."""
        super().__init__(ids.DaemonId("router-1"))
        self.published: list[gossip.Notice] = []

    def publish(
        self, topic: gossip.Topic, key: str, value: object
    ) -> gossip.Notice:
        """Record the notice."""
        notice = super().publish(topic, key, value)
        self.published.append(notice)
        return notice


def _tracker() -> tuple[health.HealthTracker, _Notices]:
    notices = _Notices()
    tracker = health.HealthTracker(notices)
    tracker.set_endpoints({e: SERVICE for e in ENDPOINTS})
    return tracker, notices


def _time(seconds: float) -> clock.MonotonicTime:
    return clock.MonotonicTime(seconds)


def _observe(
    tracker: health.HealthTracker,
    number: int,
    outcome: health.Outcome,
    now: float,
    first_token: float | None = None,
) -> None:
    tracker.record_outcome(
        ENDPOINTS[number], outcome, first_token, None, _time(now)
    )


def test_endpoint_is_unhealthy_from_one_failure_to_one_probe() -> None:
    tracker, notices = _tracker()
    _observe(tracker, 0, health.Outcome.BROKEN, 10.0)
    assert not tracker.allows_request(ENDPOINTS[0], True, _time(10.1))
    assert [n.key for n in notices.published] == ["e0"]
    assert tracker.allows_request(ENDPOINTS[0], True, _time(10.6))
    assert not tracker.allows_request(ENDPOINTS[0], False, _time(10.6))
    tracker.record_start(ENDPOINTS[0], _time(10.6))
    assert not tracker.allows_request(ENDPOINTS[0], True, _time(10.7))
    _observe(tracker, 0, health.Outcome.ANSWERED, 10.8)
    assert tracker.allows_request(ENDPOINTS[0], False, _time(10.8))


def test_probe_delay_grows_with_each_failure() -> None:
    tracker, _ = _tracker()
    _observe(tracker, 0, health.Outcome.SILENT, 0.0)
    _observe(tracker, 0, health.Outcome.SILENT, 0.5)
    assert not tracker.allows_request(ENDPOINTS[0], True, _time(1.4))
    assert tracker.allows_request(ENDPOINTS[0], True, _time(1.5))


def test_notice_of_peer_marks_endpoint_unhealthy() -> None:
    sender, notices = _tracker()
    receiver, _ = _tracker()
    _observe(sender, 0, health.Outcome.UNREACHABLE, 0.0)
    receiver.handle_notice(notices.published[0], _time(0.1))
    assert not receiver.allows_request(ENDPOINTS[0], True, _time(0.2))


def test_suspected_local_fault_stops_notices_of_failures() -> None:
    tracker, notices = _tracker()
    for number in range(len(ENDPOINTS)):
        _observe(tracker, number, health.Outcome.UNREACHABLE, 1.0)
    assert tracker.suspects_local_fault(_time(1.0))
    assert len(notices.published) < health.LOCAL_FAULT_MIN_ENDPOINTS


def test_failures_among_answers_are_published() -> None:
    tracker, notices = _tracker()
    for number in range(4, 8):
        _observe(tracker, number, health.Outcome.ANSWERED, 1.0)
    for number in range(4):
        _observe(tracker, number, health.Outcome.UNREACHABLE, 1.0)
    assert not tracker.suspects_local_fault(_time(1.0))
    assert len(notices.published) == 4


def test_notices_of_one_peer_apply_to_limited_share() -> None:
    tracker, _ = _tracker()
    payload = msgspec.Raw(
        msgspec.json.encode(
            health.HealthReport(
                health.HealthState.UNHEALTHY, health.Outcome.BROKEN
            )
        )
    )
    for endpoint in ENDPOINTS:
        tracker.handle_notice(
            gossip.Notice(
                gossip.Topic.ENDPOINT,
                endpoint,
                ids.DaemonId("router-2"),
                1,
                payload,
            ),
            _time(0.0),
        )
    healthy = [
        e for e in ENDPOINTS if tracker.allows_request(e, True, _time(0.1))
    ]
    assert len(healthy) == len(ENDPOINTS) // 2


def _answer_all(
    tracker: health.HealthTracker, rounds: int, seconds: list[float]
) -> None:
    for number in range(rounds):
        for index, first in enumerate(seconds):
            _observe(
                tracker, index, health.Outcome.ANSWERED, number * 1.0, first
            )


def test_endpoint_that_turns_cold_is_detected() -> None:
    tracker, _ = _tracker()
    turned_cold: list[ids.EndpointId] = []
    tracker.on_turned_cold = lambda endpoint, now: turned_cold.append(endpoint)
    _answer_all(tracker, 20, [0.05] * 8)
    for step in range(3):
        _observe(tracker, 0, health.Outcome.ANSWERED, 21.0 + step, 0.6)
    assert ENDPOINTS[0] in turned_cold
    assert set(turned_cold) == {ENDPOINTS[0]}


def test_load_on_all_endpoints_is_not_taken_for_cold_start() -> None:
    tracker, _ = _tracker()
    turned_cold: list[ids.EndpointId] = []
    tracker.on_turned_cold = lambda endpoint, now: turned_cold.append(endpoint)
    _answer_all(tracker, 20, [0.05] * 8)
    for step in range(12):
        for number in range(8):
            now = 21.0 + step + number / 8
            first = 0.05 * 1.5**step
            _observe(tracker, number, health.Outcome.ANSWERED, now, first)
    assert turned_cold == []


def test_straggler_is_slower_than_its_peers() -> None:
    tracker, _ = _tracker()
    _answer_all(tracker, 10, [0.05] * 7 + [0.4])
    assert tracker.latencies.slowdown(ENDPOINTS[7], _time(10.0)) > 4
    assert tracker.latencies.slowdown(ENDPOINTS[0], _time(10.0)) == 1


def test_straggler_without_requests_recovers() -> None:
    tracker, _ = _tracker()
    _answer_all(tracker, 10, [0.05] * 7 + [0.4])
    assert tracker.latencies.slowdown(ENDPOINTS[7], _time(60.0)) < 1.1
