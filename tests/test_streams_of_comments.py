"""Test that comments, and events that came before, are no progress."""

import time

import curio
import hypothesis
from hypothesis import strategies
import pytest

from sycamoredale.forwarding import event_stream
from sycamoredale.http import messages
from sycamoredale.http import sockets
from tests import endless_source
from tests import test_forwarder
from tests import test_giving_way

EVENT = test_giving_way.EVENT
STREAM_HEAD = test_giving_way.STREAM_HEAD
# A first token is due after 1.4 s, and each connection gets a piece in a turn
# of the event loop.
MAX_TURN_SECONDS = 0.4
ENDLESS_SOURCES = 60


@pytest.mark.parametrize(
    "case", ["comments", "comments after an event", "the same event"]
)
def test_stream_without_new_events_goes_on_elsewhere(case):
    first, rest = test_giving_way.STREAMS[case]
    source = endless_source.EndlessSource("a", first, rest)
    try:
        site = test_forwarder.Site(source, test_forwarder.Endpoint("b"))
        began = time.monotonic()
        caller, refusal = site.run()
    finally:
        source.close()
    assert refusal is None
    assert caller.finished
    events = [
        event
        for event in caller.body.split(b"\n\n")
        if event and not event.startswith(b":")
    ]
    assert b"\n\n".join(events) + b"\n\n" == test_forwarder.COMPLETE
    assert time.monotonic() - began < 3.0


def test_events_before_too_many_comments_are_passed():
    stream = event_stream.EventStream()
    flood = b": c\n\n" * event_stream.MAX_COMMENT_BYTES
    passed = stream.feed(EVENT + flood)
    assert passed.startswith(EVENT)
    assert len(passed) <= len(EVENT) + event_stream.MAX_COMMENT_BYTES
    assert stream.has_excess_comments
    stream.restart()
    assert not stream.has_excess_comments


# Slow comments do not reach a limit of bytes.  They are no events, so the
# wait for the next one goes on.
def test_slow_comments_do_not_renew_the_wait_for_an_event():
    source = endless_source.EndlessSource(
        "a", STREAM_HEAD + EVENT, b": c\n\n", pause=0.2
    )
    try:
        site = test_forwarder.Site(source, test_forwarder.Endpoint("b"))
        began = time.monotonic()
        caller, refusal = site.run()
    finally:
        source.close()
    assert refusal is None and caller.finished
    assert time.monotonic() - began < 3.0


# The other side: a queued request is kept alive by comments.
def test_slow_comments_before_the_first_event_are_relayed():
    class Queued(test_forwarder.Endpoint):
        async def _handle(self, exchange):
            self.requests.append(exchange.request)
            fields = [
                ("Attempt-Id", "r1"),
                ("Replica-Seal", "seal of b"),
                ("Content-Type", messages.EVENT_STREAM_TYPE),
            ]
            head = messages.ResponseHead(200, messages.Headers(fields))
            await exchange.start(head)
            for _ in range(12):
                await exchange.write(b": queued\n\n")
                await curio.sleep(0.2)
            await exchange.write(test_forwarder.COMPLETE)
            await exchange.finish()

    queued = Queued("a")
    site = test_forwarder.Site(queued, test_forwarder.Endpoint("b"))
    caller, refusal = site.run()
    assert refusal is None and caller.finished
    assert caller.body == b": queued\n\n" * 12 + test_forwarder.COMPLETE


# Guards against blank lines and comments of several endpoints at once, which
# held up the event loop since each of them was parsed as an event.
@pytest.mark.parametrize("comment", [b"\n\n", b":\n\n", b": c\n: d\n\n"])
def test_pieces_full_of_comments_take_little_processor_time(comment):
    piece = comment * (sockets.RECEIVE_BYTES // len(comment))
    began = time.process_time()
    for _ in range(ENDLESS_SOURCES):
        assert event_stream.EventStream().feed(piece) == piece
    assert time.process_time() - began < MAX_TURN_SECONDS


# What looks like a comment belongs to the event if another line does.
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            [b"\n", b"\n\n", b":", b": c\n", b"x", b"id: 9\n", b"\r"]
        ),
        max_size=12,
    )
)
def test_continuation_drops_comments_and_nothing_else(parts):
    first = event_stream.EventStream()
    first.feed(EVENT)
    data = b"".join(parts) + b"\n\n"
    stream = first.continuation()
    assert stream.feed(data) == b""
    events = data.split(b"\n\n")[:-1]
    comments = [
        all(not line or line.startswith(b":") for line in event.split(b"\n"))
        for event in events
    ]
    ends_early = stream.has_gap or stream.has_foreign_text
    assert ends_early is not all(comments)
