"""Test that routers exchange the evidence on shared messages by gossip."""

import json

from sycamoredale import clock
from sycamoredale.config import model
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.requests import call
from sycamoredale.requests import chat_parts
from sycamoredale.requests import part_evidence
from sycamoredale.requests import part_gossip
from sycamoredale.requests import part_quarantine

CRASHING = part_evidence.part_key(ids.ServiceName("llm"), "crashing")
MAX_BYTES = 100_000


class Daemon:
    """Hold the quarantine of one router."""

    def __init__(self, name):
        self.name = ids.DaemonId(name)
        self.gossip = gossip.Gossip(self.name)
        self.quarantine = part_quarantine.PartQuarantine()
        self.parts = part_gossip.PartGossip(self.gossip, self.quarantine)

    def lose(self, number, now):
        """Lose an endpoint under a request with the crashing part."""
        self.quarantine.record_loss(
            [CRASHING],
            part_evidence.incarnation_key(ids.InstanceId(f"e{number}"), 1),
            ids.RequestId(f"{number:032}"),
            now,
        )


def _exchange(sender, receiver, now):
    sender.parts.publish(now)
    notices = sender.gossip.dequeue(receiver.name, MAX_BYTES, now)
    receiver.gossip.receive(notices, sender.name, now)
    return len(notices)


def test_losses_at_different_routers_are_added_up():
    # Notices are received by the real clock.
    start = clock.monotonic()
    daemons = [Daemon("a"), Daemon("b")]
    for number in range(6):
        daemons[number % 2].lose(number, start + number)
    now = clock.MonotonicTime(start + 6)
    _exchange(*daemons, now)
    _exchange(*reversed(daemons), now)
    assert all(CRASHING in d.quarantine.quarantine_by_part for d in daemons)


def test_evidence_without_news_is_published_once():
    start = clock.monotonic()
    daemons = [Daemon("a"), Daemon("b")]
    daemons[0].lose(0, start)
    sent = sum(
        _exchange(*daemons, clock.MonotonicTime(start + second))
        for second in range(10)
    )
    assert sent == 1
    daemons[0].lose(1, clock.MonotonicTime(start + 10))
    assert _exchange(*daemons, clock.MonotonicTime(start + 10)) == 1


def _chat(*texts):
    body = {
        "model": "assistant",
        "messages": [{"role": "user", "content": text} for text in texts],
    }
    request = messages.Request(
        "POST", "/v1/chat/completions", body=json.dumps(body).encode()
    )
    service = model.Service("assistant", model.ServiceKind.MODEL, 1)
    configuration = model.Configuration(services=[service])
    sender = model.Organisation("one", "")
    return call.parse(request, sender, configuration, "request-1")


def test_chats_share_the_messages_before_the_last():
    first = chat_parts.part_keys(_chat("be kind", "one"))
    second = chat_parts.part_keys(_chat("be kind", "two"))
    assert first == second
    assert len(first) == 1
    assert not chat_parts.part_keys(_chat("one"))
