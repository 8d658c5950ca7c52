"""Test the decoding and encoding of the platform's formats."""

import dataclasses
import json

import curio
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale.daemons import settings as settings_reader
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import queue_priority
from sycamoredale.groups import reported
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.platform import engine_client
from sycamoredale.platform import instance_decoder
from sycamoredale.platform import manifest
from sycamoredale.platform import settings
from sycamoredale.platform import wire_format
from sycamoredale.scheduling import urgency
from tests import instance_fixtures

SETTINGS_TEXT = """node_name=edge-1
zone=kochi
listen.front=10.1.0.40:8227
listen.readiness=10.1.0.40:8220
internal_ports=7340,7355
limits.max_fds=4100
platform.addr=10.200.1.7:8223
bounds.grace_s=8
bounds.drain_ms=2000
bootstrap=true
some.new=thing
"""
NOW = 1_790_000_000.0
ENTRY = {
    "backend": "llm",
    "addr": "10.0.0.9:8080",
    "zone": "kochi",
    "slots": 13,
    "state": "ready",
    "cold_left_ms": 1500,
    "seq": 4,
    "born": 77,
    "domain": "d0",
    "staged": ["large"],
    "group": {"name": "large.1", "epoch": 1, "rank": 0, "state": "open"},
}
MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "hostname": "A.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "slo_ms": 300,
            "priority": 1,
            "traffic_split": [
                {"backend": "llm", "weight": 90},
                {"backend": "app", "weight": 10},
            ],
            "max_attempts": 2,
            "resumable": True,
            "gap_target_ms": 200,
        },
        {
            "name": "r2",
            "hostname": "a.example",
            "path_prefix": "/b/",
            "kind": "something new",
            "backend": "app",
        },
    ],
    "services": [
        {"name": "llm", "max_conns": 354, "warmup_s": 3.0},
        {"name": "app"},
    ],
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"]}],
}


def _call(headers=(), request_id="r1", **changes):
    route = manifest.decode(json.dumps(MANIFEST).encode()).routes[0]
    request = messages.Request(
        "POST", "/a/x", messages.Headers(headers), b"body"
    )
    return calls.Call(
        wire_format.read_envelope(
            messages.Request(
                "POST",
                "/a/x",
                messages.Headers([*headers, ("Attempt-Id", request_id)]),
            )
        ),
        request,
        route,
        instance_fixtures.MODEL_SERVICE,
        ids.OrganisationName("t1"),
        clock.MonotonicTime(0.0),
        clock.MonotonicTime(8.0),
        "fingerprint",
    )


def _head(status, **fields):
    pairs = ((n.replace("_", "-"), v) for n, v in fields.items())
    return messages.ResponseHead(status, messages.Headers(pairs))


def test_settings_are_read_and_unknown_ones_ignored():
    read = settings.read(SETTINGS_TEXT)
    assert read.daemon == "edge-1"
    assert read.peer_ports == (7340, 7355)
    assert read.bounds.grace_seconds == 8.0
    assert read.first_start


def test_all_errors_in_the_settings_are_reported_together():
    broken = SETTINGS_TEXT.replace("zone=kochi\n", "").replace(
        "10.1.0.40:8220", "x"
    )
    broken += "bounds.stall_ms=soon\n"
    with pytest.raises(settings_reader.InvalidSettings) as raised:
        settings.read(broken)
    found = "\n".join(raised.value.findings)
    assert "zone" in found
    assert "listen.readiness" in found
    assert "bounds.stall_ms" in found


def test_list_entry_is_decoded():
    found = instance_decoder.decode_entry(
        "i-1", json.dumps(ENTRY).encode(), NOW
    )
    assert found.service == "llm"
    assert found.cold_seconds == 1.5
    assert found.state_version == (77, 4)
    assert found.is_open_head


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"addr": "nowhere"},
        {"seq": "four"},
        {"backend": None},
        {"group": {"name": "g", "epoch": 1, "rank": 0, "state": "odd"}},
    ],
)
def test_malformed_entry_is_rejected(changes):
    data = json.dumps({**ENTRY, **changes}).encode()
    with pytest.raises((ValueError, msgspec.DecodeError)):
        instance_decoder.decode_entry("i-1", data, NOW)


def test_entry_that_is_not_json_is_rejected():
    with pytest.raises((ValueError, msgspec.DecodeError)):
        instance_decoder.decode_entry("i-1", b"\xff\x00", NOW)


def test_manifest_is_decoded():
    found = manifest.decode(json.dumps(MANIFEST).encode())
    first, second = found.routes
    assert first.host == "a.example"
    assert first.retry_policy is catalogue.RetryPolicy.STREAM
    assert first.weight_by_service == (("llm", 90), ("app", 10))
    assert (first.timeout_seconds, first.max_event_gap_seconds) == (8.0, 0.2)
    assert found.organisation_by_key == {"k1": "t1", "k2": "t1"}
    assert found.requires_key
    # A request of an unknown kind may run at most once.
    assert second.retry_policy is catalogue.RetryPolicy.ONCE


def test_request_to_an_instance_names_it_and_omits_the_api_key():
    call = _call(
        [
            ("Host", "a.example"),
            ("Authorization", "Bearer k1"),
            ("Tenant", "forged"),
            ("Request-Deadline", "9000"),
            ("Connection", "keep-alive"),
            ("Model", "large"),
        ]
    )
    sent = wire_format.request_for(
        call,
        instance_fixtures.instance("i-1"),
        1.5,
        12,
        queue_priority.QueuePriority.CONTINUED,
    )
    fields = {name: value for name, value in sent.headers.fields}
    assert "Authorization" not in fields
    assert "Connection" not in fields
    assert fields["Tenant"] == "t1"
    assert fields["Request-Deadline"] == "1500"
    assert fields["Expect-Replica"] == "i-1"
    assert fields["Last-Event-Id"] == "12"
    assert fields["Model"] == "large"
    assert (sent.method, sent.target, sent.body) == ("POST", "/a/x", b"body")


@pytest.mark.parametrize(
    "position, by_level",
    [
        (queue_priority.QueuePriority.CONTINUED, ("2", "2", "2", "2", "2")),
        (queue_priority.QueuePriority.IN_TIME, (None, "3", "4", "5", "6")),
        (queue_priority.QueuePriority.LATE, ("7", "7", "7", "8", "9")),
    ],
)
@pytest.mark.parametrize("level", [None, 0, 1, 2, 3])
def test_queue_priority_replaces_the_priority_of_the_caller(
    position, by_level, level
):
    call = _call([("Request-Priority", "0"), ("Model", "large")])
    expected = by_level[0]
    if level is not None:
        found = urgency.Urgency(level, level)
        call = dataclasses.replace(call, urgency=found)
        expected = by_level[1 + level]
    sent = wire_format.request_for(
        call, instance_fixtures.instance("i-1"), 1.5, None, position
    )
    assert sent.headers.get("Request-Priority") == expected


def test_steps_per_event_and_mean_answer_tokens_are_decoded():
    engine = {
        "slots": 13,
        "stride": 7,
        "usual": {"prompt": 1115, "answer": 178},
        "models": [{"name": "large", "size": 4}],
    }
    service = {"name": "llm", "engine": engine}
    found = manifest.decode(
        json.dumps({"version": 1, "services": [service]}).encode()
    )
    read = found.service_by_name["llm"].engine
    assert (read.steps_per_event, read.mean_answer_tokens) == (7, 178)


@pytest.mark.parametrize("text", ["9" * 400 + ",7", "1," + "9" * 5000])
def test_absurd_token_counts_count_as_unknown(text):
    """Guard against a call that fails since a number has no float or int."""
    envelope = wire_format.read_envelope(
        messages.Request(
            "POST", "/", messages.Headers([("Token-Count", text)])
        )
    )
    assert (envelope.prompt_tokens, envelope.answer_tokens) == (0, 0)


@pytest.mark.parametrize(
    "head,kind",
    [
        (
            _head(200, Attempt_Id="r1", Replica_Seal="s"),
            calls.AnswerKind.ANSWER,
        ),
        (_head(200, Attempt_Id="r1"), calls.AnswerKind.FAILURE),
        (
            _head(
                200, Attempt_Id="r1", Replica_Seal="s", Content_Encoding="br"
            ),
            calls.AnswerKind.FAILURE,
        ),
        (
            _head(200, Attempt_Id="r0", Replica_Seal="s"),
            calls.AnswerKind.OTHER_REQUEST,
        ),
        (_head(200), calls.AnswerKind.OTHER_REQUEST),
        (
            _head(421, Attempt_Id="r1", Replica_Id="i-2"),
            calls.AnswerKind.NOT_RUN,
        ),
        (
            _head(503, Attempt_Id="r1", Not_Executed="1"),
            calls.AnswerKind.NOT_RUN,
        ),
        (_head(503, Attempt_Id="r1"), calls.AnswerKind.ANSWER),
        (_head(500, Attempt_Id="r1"), calls.AnswerKind.ANSWER),
    ],
)
def test_answer_is_classified_by_its_head(head, kind):
    assert wire_format.read_answer(_call(), head).kind is kind


def test_load_of_an_answer_is_decoded():
    head = _head(200, Attempt_Id="r1", Replica_Seal="s", Replica_Load="3,1,13")
    assert wire_format.read_answer(_call(), head).load == calls.Load(3, 1, 13)


@pytest.mark.parametrize("text", ["soon", "-5", "0", "inf"])
def test_malformed_deadline_is_refused(text):
    request = messages.Request(
        "GET", "/", messages.Headers([("Request-Deadline", text)])
    )
    with pytest.raises(errors.Refusal):
        wire_format.read_envelope(request)


@pytest.mark.parametrize(
    "text, parts",
    [
        ("5c1e07a2:800, 91BD3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("e4402b7d:250", ()),
        ("", ()),
        (",:3,e4402b7d:250", ()),
    ],
)
def test_shared_parts_are_all_but_the_last(text, parts):
    request = messages.Request(
        "GET", "/", messages.Headers([("Prompt-Prefix", text)])
    )
    assert wire_format.read_envelope(request).shared_parts == parts


KEY = reported.new_key("large", ids.Epoch(3))
GROUP = {"group": "large.3", "epoch": 3}


@pytest.mark.parametrize(
    "order,body",
    [
        (
            reported.Join(KEY, ("i1", "i2")),
            {
                "operation": "join",
                "model": "large",
                "members": ["i1", "i2"],
                **GROUP,
            },
        ),
        (reported.Open(KEY), {"operation": "open", **GROUP}),
        (
            reported.Close(KEY, cancel=True),
            {"operation": "close", "close_mode": "cancel", **GROUP},
        ),
        (
            reported.Close(KEY, cancel=False),
            {"operation": "close", "close_mode": "queue", **GROUP},
        ),
        (reported.Leave(KEY), {"operation": "leave", **GROUP}),
        (reported.Stage("large"), {"operation": "stage", "model": "large"}),
    ],
)
def test_order_is_encoded(order, body):
    assert engine_client.order_body(order) == body


def test_newest_state_of_an_instance_is_kept_in_any_order():
    table = instance_table.InstanceTable()
    now = clock.MonotonicTime(1.0)
    membership = (KEY, 0, instance_state.MemberState.READY)
    table.apply_listed(
        instance_fixtures.instance(
            "i1", orders_taken=2, membership=membership
        ),
        now,
    )
    table.apply_listed(
        instance_fixtures.instance("i1", orders_taken=1, leaving=True), now
    )
    instance = table.by_id[ids.InstanceId("i1")]
    assert instance.membership is not None
    assert instance.leaving
    restarted = instance_fixtures.instance("i1", started_ms=2000)
    table.apply_listed(restarted, now)
    assert table.by_id[ids.InstanceId("i1")] == restarted
    table.apply_report(
        ids.InstanceId("i1"), instance_state.Report(1000, 9, None, ("old",))
    )
    assert table.by_id[ids.InstanceId("i1")] == restarted


def test_slowdown_is_decoded_from_the_report():
    body = b'{"seq": 2, "born": 7, "pace": 4.5, "staged": ["m"]}'
    report = instance_decoder.decode_report(body)
    assert (report.slowdown, report.orders_taken) == (4.5, 2)
    assert instance_decoder.decode_report(b'{"seq": 2}').slowdown == 1.0


def test_order_names_its_instance(monkeypatch):
    """The address of a lost instance may be reused by another one."""
    sent = []

    class Connection:
        async def send(self, request):
            sent.append(request)

        async def read_head(self):
            return _head(421)

        async def close(self):
            pass

    async def open_connection(address, seconds):
        return Connection()

    monkeypatch.setattr(
        engine_client.client, "open_connection", open_connection
    )
    engines = engine_client.PlatformEngineClient(client.Pool())
    sending = engines.order(
        instance_fixtures.instance("i7"), reported.Stage("m"), lambda: None
    )
    assert curio.run(sending) is False
    assert sent[0].headers.get("Expect-Replica") == "i7"
