"""Test what the log and the metrics say of answers that end early."""

import curio

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import service
from sycamoredale.http import sockets
from tests import test_forwarder


def _cut(caller, refusal, *unread):
    site = test_forwarder.Site(test_forwarder.Endpoint("i0"))
    progress = progress_module.begin(site.call())
    for unread_bytes in unread:
        progress.record_left(unread_bytes)
    return service._cut_kind(progress, caller, refusal.code.name)


def _failed():
    return errors.Refusal(error_codes.ENDPOINT_FAILED, "failed")


def _started():
    caller = test_forwarder.Caller()
    caller.started = True
    return caller


def test_answer_of_an_endpoint_that_was_left_counts_apart():
    assert _cut(_started(), _failed(), None, 512) == "endpoint_left"
    assert _cut(_started(), _failed()) == "endpoint_failed"


def test_refusal_before_the_answer_is_no_cut():
    assert _cut(test_forwarder.Caller(), _failed(), 512) is None


# Guards against a count of this daemon's faults that has those of endpoints.
def test_break_of_the_endpoint_after_one_that_was_left_counts_as_its_own():
    assert _cut(_started(), _failed(), 512, None) == "endpoint_failed"


def test_left_connection_that_has_ended_is_not_counted():
    progress = progress_module.begin(
        test_forwarder.Site(test_forwarder.Endpoint("i0")).call()
    )
    progress.record_left(None)
    progress.record_left(0)
    assert progress.left_unread == [0]


def test_unread_bytes_of_a_socket():
    async def main():
        ours, theirs = curio.socket.socketpair()
        async with ours, theirs:
            found = [sockets.unread_bytes(ours)]
            await theirs.sendall(b"abc")
            found.append(sockets.unread_bytes(ours))
            await ours.recv(10)
            await theirs.close()
            found.append(sockets.unread_bytes(ours))
        found.append(sockets.unread_bytes(ours))
        return found

    assert curio.run(main) == [0, 3, None, None]
