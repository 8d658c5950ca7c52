"""Test that endpoints get no more requests than the limit they announce."""

import dataclasses

import curio
import hypothesis
from hypothesis import strategies
import pytest

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import announced_limit
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import daemon_shares
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import update_exchange
from sycamoredale import ids
from sycamoredale.platform import wire_format
from tests import instance_fixtures
from tests import test_forwarder
from tests import test_platform_codec as codec
from tests import update_fixtures

LIMIT_PER_SECOND = 2.0
WINDOW_SECONDS = 4.0
# The users' rule: one and a half times what the limit allows, and five.
ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
REQUESTS = 60


class LimitedEndpoint(test_forwarder.Endpoint):
    """Name a limit in each answer while it is set."""

    limit = None

    async def _handle(self, exchange):
        exchange = _WithHeader(exchange, "Server-Limit", self.limit)
        await super()._handle(exchange)


class _WithHeader:
    """Add a header to the answers of an exchange."""

    def __init__(self, exchange, name, value):
        self._exchange = exchange
        self._field = (name, f"{value:g}") if value else None

    def __getattr__(self, name):
        return getattr(self._exchange, name)

    async def start(self, head):
        if self._field:
            headers = head.headers.with_field(*self._field)
            head = type(head)(head.status, headers)
        await self._exchange.start(head)


async def _send(site):
    caller = test_forwarder.Caller()
    try:
        await site.forwarder.run(progress_module.begin(site.call()), caller)
    except errors.Refusal as refusal:
        return caller, refusal
    return caller, None


async def _start(site):
    for item in site.servers:
        await item.server.start()


# Guards against endpoints that get many times the rate that they name.
def test_endpoint_gets_no_more_requests_than_its_limit_allows():
    limited, other = LimitedEndpoint("i0"), LimitedEndpoint("i1")
    limited.limit = LIMIT_PER_SECOND
    site = test_forwarder.Site(limited, other)

    async def main():
        await _start(site)
        for _ in range(REQUESTS):
            caller, refusal = await _send(site)
            assert refusal is None
            assert caller.finished

    curio.run(main)
    assert 0 < len(limited.requests) <= ALLOWED_IN_WINDOW


def test_limit_ends_with_the_first_answer_that_does_not_name_it():
    limited, other = LimitedEndpoint("i0"), LimitedEndpoint("i1")
    limited.limit = LIMIT_PER_SECOND
    site = test_forwarder.Site(limited, other)

    async def main():
        await _start(site)
        await _send(site)
        limited.limit = None
        for _ in range(REQUESTS):
            await _send(site)

    curio.run(main)
    assert len(limited.requests) > ALLOWED_IN_WINDOW


def test_call_is_refused_at_once_if_all_endpoints_are_at_their_limits():
    servers = [LimitedEndpoint(f"i{n}") for n in range(2)]
    for server in servers:
        server.limit = 0.5
    site = test_forwarder.Site(*servers)

    async def main():
        await _start(site)
        outcomes = [await _send(site) for _ in range(6)]
        return [refusal for _, refusal in outcomes if refusal is not None]

    refusals = curio.run(main)
    assert sum(len(server.requests) for server in servers) == 4
    assert len(refusals) == 2
    for refusal in refusals:
        assert refusal.code.status == 503
        assert refusal.execution is error_codes.Execution.NOT_RUN
        assert 0 < refusal.retry_after <= WINDOW_SECONDS


@pytest.mark.parametrize(
    "status, fields, limit, kind",
    [
        (200, {"Server_Limit": "2.4"}, 2.4, calls.AnswerKind.ANSWER),
        (503, {"Server_Limit": "1"}, 1.0, calls.AnswerKind.NOT_RUN),
        (421, {"Server_Limit": "0"}, 0.0, calls.AnswerKind.NOT_RUN),
        (200, {"Server_Limit": "soon"}, None, calls.AnswerKind.ANSWER),
        (200, {"Server_Limit": "-1"}, None, calls.AnswerKind.ANSWER),
        (200, {"Server_Limit": "nan"}, None, calls.AnswerKind.ANSWER),
        (200, {}, None, calls.AnswerKind.ANSWER),
    ],
)
def test_limit_is_read_from_every_kind_of_answer(status, fields, limit, kind):
    head = codec._head(
        status,
        Attempt_Id="r1",
        Replica_Seal="s",
        **({"Not_Executed": "1"} if status == 503 else {}),
        **fields,
    )
    answer = wire_format.read_answer(codec._call(), head)
    assert answer.limit == limit
    assert answer.kind is kind


NOW = clock.MonotonicTime(100.0)


def test_daemon_without_sends_hears_from_a_peer_that_a_limit_has_ended():
    sites = [test_forwarder.Site(LimitedEndpoint("i0")) for _ in range(2)]
    limits = [site.endpoint_table.by_id["i0"].limit for site in sites]
    exchanges = [
        update_exchange.PeerUpdateExchange(
            ids.DaemonId(f"d{n}"),
            site.endpoint_table,
            update_fixtures.selector(f"d{n}"),
        )
        for n, site in enumerate(sites)
    ]
    now = clock.monotonic()
    limits[0].record_own(2.5, now)
    exchanges[1].receive(exchanges[0].build_update(now), now)
    assert limits[1].current(now) == 2.5
    later = clock.MonotonicTime(now + 5)
    limits[0].record_own(None, later)
    exchanges[1].receive(exchanges[0].build_update(later), later)
    assert limits[1].current(later) is None


def test_older_news_of_a_peer_replaces_no_later_answer():
    limit = announced_limit.AnnouncedLimit()
    limit.record_own(2.0, NOW)
    limit.record_own(None, clock.MonotonicTime(NOW + 2))
    limit.record(
        announced_limit.Announcement(2.0, clock.MonotonicTime(NOW + 1))
    )
    assert limit.current(clock.MonotonicTime(NOW + 2)) is None


def test_limit_without_news_expires():
    limit = announced_limit.AnnouncedLimit()
    limit.record_own(2.0, NOW)
    later = NOW + announced_limit.NEWS_TTL_SECONDS + 1
    assert limit.current(clock.MonotonicTime(later)) is None


def test_limit_outlasts_a_change_of_the_group_but_not_of_the_process():
    site = test_forwarder.Site(LimitedEndpoint("i0"))
    table = site.endpoint_table
    table.by_id["i0"].limit.record_own(2.0, NOW)
    instance = table.by_id["i0"].instance
    for changes, limit in (
        ({"membership": _membership(2)}, 2.0),
        ({"membership": _membership(3), "started_ms": 5000}, None),
    ):
        changed = dataclasses.replace(instance, **changes)
        table.instances.by_id["i0"] = changed
        table.rebuild()
        assert table.by_id["i0"].limit.current(NOW) == limit


def _membership(epoch):
    key = instance_fixtures.key("large", epoch)
    open_head = instance_fixtures.instance(
        "i0",
        membership=(key, 0, instance_fixtures.instance_state.MemberState.OPEN),
    )
    return open_head.membership


@dataclasses.dataclass
class Sender:
    """Send as many requests as a daemon may, from when it knows the limit."""

    shares: daemon_shares.DaemonShares
    learns_at: float
    limit: announced_limit.AnnouncedLimit = dataclasses.field(
        default_factory=announced_limit.AnnouncedLimit
    )


@hypothesis.given(
    count=strategies.integers(1, 87),
    rate=strategies.floats(0.1, 20.0),
    delays=strategies.lists(strategies.floats(0.0, 6.0), min_size=1),
    missing=strategies.integers(0, 2),
    arrivals=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 14.0), strategies.integers(0, 86)
        ),
        min_size=1,
        max_size=200,
    ),
)
def test_requests_of_all_daemons_keep_to_the_limit_of_an_endpoint(
    count, rate, delays, missing, arrivals
):
    """Let each daemon hear late of the limit and know few of the others."""
    names = [ids.DaemonId(f"d{n}") for n in range(count)]
    senders = []
    for number, name in enumerate(names):
        known = names[: max(1, count - missing * (number % 2))]
        known = known if name in known else [*known, name]
        shares = daemon_shares.DaemonShares(
            name, lambda: count, lambda known=known: known
        )
        senders.append(Sender(shares, delays[number % len(delays)]))
    sent = []
    for at, number in sorted(arrivals):
        sender = senders[number % count]
        now = clock.MonotonicTime(at)
        if at >= sender.learns_at:
            sender.limit.record_own(rate, now)
        for _ in range(3):
            if sender.limit.may_send(ids.InstanceId("i0"), sender.shares, now):
                sender.limit.record_send(now)
                sent.append((at, sender))
    allowed = 1.5 * rate * WINDOW_SECONDS + 5
    for begin, _ in sent:
        counted = [
            at
            for at, sender in sent
            if max(begin, sender.learns_at + 0.5)
            <= at
            < begin + WINDOW_SECONDS
        ]
        # Sends from before a daemon knew the limit use up its share.
        assert len(counted) <= allowed


def test_shares_add_up_to_the_total():
    names = [ids.DaemonId(f"d{n}") for n in range(62)]
    for total in (1, 9, 62, 100):
        shares = [
            daemon_shares.DaemonShares(name, lambda: 62, lambda: names)
            for name in names
        ]
        endpoint = ids.InstanceId("i0")
        assert sum(s.share(endpoint, total, NOW) for s in shares) == total
