"""Name the messages that a chat shares with other chats.

The last message belongs to the request itself; those before it are parts of
the prompt that other requests may have as well.
"""

import msgspec

from sycamoredale import decoding
from sycamoredale import ids
from sycamoredale.requests import call as call_module
from sycamoredale.requests import part_evidence


class _Chat(msgspec.Struct):
    messages: list[object] = []


def part_keys(call: call_module.Call) -> tuple[ids.PromptPartKey, ...]:
    """Return the keys of the shared messages of a call, in order."""
    if not call.is_model:
        return ()
    try:
        chat = decoding.decode_json(call.upstream.body, _Chat)
    except msgspec.DecodeError:
        return ()
    return tuple(
        part_evidence.part_key(
            call.service.name,
            msgspec.json.encode(message, order="sorted").decode(),
        )
        for message in chat.messages[:-1]
    )
