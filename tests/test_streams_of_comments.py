"""Test that comments, and events that came before, are no progress."""

import time

import curio
import pytest

from sycamoredale.forwarding import event_stream
from sycamoredale.http import messages
from tests import endless_source
from tests import test_forwarder
from tests import test_giving_way

EVENT = test_giving_way.EVENT
STREAM_HEAD = test_giving_way.STREAM_HEAD


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
