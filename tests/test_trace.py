"""Test that trace finds the orders that led to a request's outcome."""

import json

import click.testing

from sycamoredale.commands import trace


def _line(second, **fields):
    stamp = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return json.dumps({**fields, "timestamp": stamp}) + "\n"


LINES = (
    _line(1.0, event="order_given", instance="i-1", order="Open(x.7)"),
    _line(4.0, event="order_given", instance="i-1", order="Close(x.7)"),
    _line(4.1, event="order_given", instance="i-2", order="Close(x.8)"),
    _line(5.0, event="send_failed", request="r1", endpoint="i-1", group="x.7"),
    _line(5.1, event="send_failed", request="r2", endpoint="i-1", group="x.7"),
    _line(6.0, event="call_ended", request="r1", sends=["i-1:broken"]),
    _line(7.0, event="order_given", instance="i-1", order="Join(x.9)"),
    "no log line\n",
)


def test_trace_prints_lines_of_request_and_its_endpoints(tmp_path):
    log = tmp_path / "d1.log"
    log.write_text("  12.0 d1 " + "  12.0 d1 ".join(LINES))
    result = click.testing.CliRunner().invoke(trace.trace, ["r1", str(log)])
    events = [json.loads(line) for line in result.output.splitlines()]
    assert [e["event"] for e in events] == [
        "order_given",
        "order_given",
        "send_failed",
        "call_ended",
    ]
    assert "i-2" not in result.output


def test_unknown_request_is_an_error(tmp_path):
    log = tmp_path / "d1.log"
    log.write_text("".join(LINES))
    result = click.testing.CliRunner().invoke(trace.trace, ["r9", str(log)])
    assert result.exit_code == 1
    assert "'r9' is in none of 7 log lines" in result.output
