"""Define the translation of calls to the protocol of a platform."""

import typing

from sycamoredale.forwarding import calls
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import queue_priority as queue_priority_module
from sycamoredale.http import messages


class WireProtocol(typing.Protocol):
    """Translate requests and answers of endpoints."""

    def request_for(
        self,
        call: calls.Call,
        instance: instance_state.Instance,
        seconds_left: float,
        last_event_id: int | None,
        queue_priority: queue_priority_module.QueuePriority,
    ) -> messages.Request:
        """Return the request to send to an instance."""

    def read_answer(
        self, call: calls.Call, head: messages.ResponseHead
    ) -> calls.AnswerInfo:
        """Return the decoded head of an answer."""
