"""Test the rate limit of log lines, non-blocking writes and metrics."""

import json
import os

import structlog

from sycamoredale import clock
from sycamoredale.observability import exposition
from sycamoredale.observability import histograms
from sycamoredale.observability import line_writer
from sycamoredale.observability import logs


class ManualClock:
    """Return a time that only the test changes."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return clock.MonotonicTime(self.now)


def _pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    return reader, writer


def test_lines_beyond_the_rate_limit_are_dropped_and_counted():
    reader, descriptor = _pipe()
    manual_clock = ManualClock()
    writer = line_writer.LineWriter(descriptor, manual_clock)
    for _ in range(int(line_writer.BURST_LINES) + 5):
        writer.write("{}\n")
    assert writer.dropped_lines == 5
    manual_clock.now += 1.0
    writer.write("last\n")
    text = os.read(reader, 1 << 16).decode()
    assert '{"event": "log_lines_dropped", "lines": 5}\nlast\n' in text
    assert writer.dropped_lines == 0


def test_logger_writes_json_lines_through_line_writer():
    reader, descriptor = _pipe()
    logs.configure("info", line_writer.LineWriter(descriptor), daemon="d1")
    try:
        logs.get("calls").info("call_ended", request="r1", ms=3)
    finally:
        structlog.reset_defaults()
        structlog.contextvars.clear_contextvars()
    line = json.loads(os.read(reader, 1 << 16))
    assert line["event"] == "call_ended"
    assert (line["request"], line["daemon"]) == ("r1", "d1")


def test_write_to_full_pipe_does_not_block():
    reader, descriptor = _pipe()
    writer = line_writer.LineWriter(descriptor, ManualClock())
    for _ in range(400):
        writer.write("x" * 1000 + "\n")
    assert writer.dropped_lines > 0
    os.read(reader, 1 << 20)
    writer.write("after\n")
    assert os.read(reader, 1 << 16).decode().endswith("\nafter\n")


def test_counters_and_times_are_rendered_with_labels():
    registry = exposition.MetricRegistry()
    registry.count("calls", "answered")
    registry.count("calls", "answered")
    registry.time("t1", "r1", histograms.Measure.TOTAL, 0.25)
    lines = registry.render().splitlines()
    assert 'sycamoredale_calls_total{kind="answered"} 2' in lines
    labels = 'organisation="t1",route="r1"'
    assert f"sycamoredale_call_total_seconds_count{{{labels}}} 1" in lines
    assert any('quantile="0.99"' in line for line in lines)
