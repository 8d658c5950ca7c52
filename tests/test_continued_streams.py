"""Test streams that broke off and are continued at another endpoint."""

import curio
import pytest

from sycamoredale.engines import completions
from sycamoredale import errors
from tests import test_forwarder
from tests import test_unframed_answers

EVENTS = test_unframed_answers.EVENTS
WHOLE = b"".join(EVENTS)
FIELDS = (
    b"Attempt-Id: r1\r\nReplica-Seal: s\r\nContent-Type: text/event-stream\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class RawEndpoint(test_unframed_answers.UnframedEndpoint):
    """Answer each request with the given bytes and close."""

    async def _answer(self, sock):
        received = b""
        while b"\r\n\r\n" not in received:
            data = await sock.recv(65536)
            if not data:
                return
            received += data
        self.requests += 1
        await sock.sendall(self.body)
        await curio.sleep(0.05)
        await sock.close()


def _answer(body, status=b"200 OK"):
    head = b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n"
    return head % (status, FIELDS, len(body)) + body


def _broken_off(body):
    head = b"HTTP/1.1 200 OK\r\n" + FIELDS + CHUNKED + b"\r\n"
    return head + b"%x\r\n%s\r\n" % (len(body), body)


ERROR_TEXTS = {
    "error event": b"event: error\ndata: failed\n\n",
    "text": b"internal error\n\n",
    "head": b"HTTP/1.1 500 Internal\nContent-Length: 5\n\n",
    "events, then an error": EVENTS[3] + b"event: error\ndata: failed\n\n",
}
# What a second endpoint says in place of the rest of a stream.
CONTINUATIONS = {
    **{name: _answer(text) for name, text in ERROR_TEXTS.items()},
    "empty": _answer(b""),
    "empty chunks": b"HTTP/1.1 200 OK\r\n"
    + FIELDS
    + CHUNKED
    + b"\r\n0\r\n\r\n",
    "comment": _answer(b": nothing\n\n"),
    "known events": _answer(b"".join(EVENTS[:3])),
    "500": _answer(b"failed\n\n", b"500 Failed"),
    "404": _answer(b"failed\n\n", b"404 Unknown"),
    "part of a head": b"HTTP/1.1 500 Fai",
    "garbage": b"\x00\x01garbage\r\n\r\n",
}


# Guards against the text of an error in the middle of a stream, and against a
# stream that ends as if it were complete, after its endpoint broke off.
@pytest.mark.parametrize("broken_at", [b"", b"id: 4\n"])
@pytest.mark.parametrize("name", CONTINUATIONS)
def test_error_in_place_of_the_rest_of_a_stream_is_not_passed_on(
    name, broken_at
):
    first = RawEndpoint("i0", _broken_off(b"".join(EVENTS[:3]) + broken_at))
    second = RawEndpoint("i1", CONTINUATIONS[name])
    caller, refusal = test_forwarder.Site(first, second).run()
    assert second.requests == 1
    assert WHOLE.startswith(caller.body)
    assert caller.body.startswith(b"".join(EVENTS[:3]))
    assert not caller.finished
    assert isinstance(refusal, errors.Refusal)
    assert refusal.execution.value == "unknown"


@pytest.mark.parametrize("start", [0, 3])
def test_continuation_with_comments_is_whole(start):
    first = RawEndpoint("i0", _broken_off(b"".join(EVENTS[:3])))
    rest = b": nothing\n\n" + b"".join(EVENTS[start:])
    second = RawEndpoint("i1", _answer(rest))
    caller, _ = test_forwarder.Site(first, second).run()
    assert caller.body == WHOLE
    assert caller.finished


# Guards against events that come twice, since no id tells where to continue.
def test_stream_without_ids_is_not_continued():
    text = b"data: x\n\n"
    second = RawEndpoint("i1", _answer(text))
    caller, refusal = test_forwarder.Site(
        RawEndpoint("i0", _broken_off(text)), second
    ).run()
    assert caller.body == text
    assert not second.requests
    assert not caller.finished
    assert refusal.execution.value == "unknown"


# Guards against a stream that is given up because of a comment before it.
def test_stream_that_broke_off_after_a_comment_begins_elsewhere():
    second = RawEndpoint("i1", _answer(WHOLE))
    caller, _ = test_forwarder.Site(
        RawEndpoint("i0", _broken_off(b": soon\n\n")), second
    ).run()
    assert caller.finished
    assert caller.body == b": soon\n\n" + WHOLE


# Guards against an event that is lost because an error followed it in one
# packet.
def test_events_before_an_error_are_passed_on():
    first = RawEndpoint("i0", _broken_off(b"".join(EVENTS[:3])))
    text = CONTINUATIONS["events, then an error"]
    caller, _ = test_forwarder.Site(first, RawEndpoint("i1", text)).run()
    assert caller.body == b"".join(EVENTS[:4])


TOKEN = b'data: {"choices": [{"text": "x"}]}\n\n'


# Guards, on the own interface, against the text of an error in the middle of
# a stream that another engine continues.
@pytest.mark.parametrize("text", [b"oops\n\n", ERROR_TEXTS["head"]])
def test_text_is_no_event_of_a_continued_stream(text):
    stream = completions.ResumableStream()
    assert stream.feed(TOKEN) == TOKEN
    stream.discard_partial_event()
    assert stream.feed(TOKEN + text + TOKEN) == TOKEN
    assert stream.error_event is not None
    assert stream.token_count() == 2
    stream.discard_partial_event()
    rest = b": nothing\n\n" + TOKEN + completions.DONE_EVENT
    assert stream.feed(rest) == rest
    assert stream.done
